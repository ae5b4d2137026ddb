import {TimerService} from '@apricotlock/timer';
import {PrimaryPositionTracker} from './primary_position_tracker.js';
import {PrimaryTimeline} from './primary_timeline.js';
import {ReadRequirement} from './read_order.js';
import {RoutedStatement, stricterRequirement} from './routed_statement.js';

/**
 * Samples are required to be this much newer than the staleness limit, to make
 * up for timers that fire late.
 */
const STALENESS_MARGIN_MILLISECONDS = 40;
/** How long a read waits for the position of the primary. */
const POSITION_WAIT_MILLISECONDS = 250;

/** Dependencies of the requirements of reads. */
export interface ReadRequirementsOptions {
  readonly primaryPositions: PrimaryPositionTracker;
  /** Receives the positions of primaries that become known. */
  readonly timeline: PrimaryTimeline;
  readonly timer: TimerService;
}

/** A requirement with the time at which the age of its floor was computed. */
export interface TimedRequirement extends ReadRequirement {
  readonly at: number;
}

/** Determines which log position a member must have for a read. */
export class ReadRequirements {
  private constructor(private readonly options: ReadRequirementsOptions) {}

  /** Creates an instance for the reads of one VM. */
  static create(options: ReadRequirementsOptions): ReadRequirements {
    return new ReadRequirements(options);
  }

  /**
   * Resolves to the log position that a member must have for this read,
   * `undefined` if the position of the primary is not available in time.
   */
  async requirementFor(
    statement: RoutedStatement,
  ): Promise<TimedRequirement | undefined> {
    const {terms, entry, receivedAt, ownWrite} = statement;
    const maximumStaleness = terms.maximumStalenessMilliseconds ?? 0;
    const margin = Math.min(
      STALENESS_MARGIN_MILLISECONDS,
      maximumStaleness / 2,
    );
    const sample = await this.options.primaryPositions.waitForCoveringSample(
      entry.database,
      receivedAt - maximumStaleness + margin,
      POSITION_WAIT_MILLISECONDS,
    );
    if (sample === undefined) return undefined;
    const now = this.options.timer.now();
    this.learnPrimaryPosition(entry.database);
    const requiredWrite =
      terms.consistency === 'readYourWrites' ? ownWrite : undefined;
    const requirement = stricterRequirement(
      {
        floor: sample.position,
        floorAgeMilliseconds: now - sample.requestedAt,
      },
      requiredWrite && {
        floor: requiredWrite.position,
        floorAgeMilliseconds: now - requiredWrite.at,
      },
    );
    return {...requirement, at: now};
  }

  private learnPrimaryPosition(database: string): void {
    const {primaryPositions, timeline} = this.options;
    const newest = primaryPositions.newestSample(database);
    if (newest === undefined) return;
    const {position, requestedAt, receivedAt = requestedAt} = newest;
    timeline.record(database, position, {requestedAt, receivedAt});
  }
}
