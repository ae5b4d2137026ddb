import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {TimerService} from '@apricotlock/timer';
import {ClusterView, findGroup} from '@apricotlock/topology';
import {ControlLeaderClient} from './control_leader_client.js';
import {REPORT_PRIMARY_FAILURE, Symptom} from './lease_messages.js';

const REPORT_TIMEOUT_MILLISECONDS = 600;
/** The minimum time between two reports of the same symptom of a database. */
const REPORT_INTERVAL_MILLISECONDS = 150;

/** Dependencies of the reporter. */
export interface PrimaryFailureReporterOptions {
  readonly self: string;
  readonly view: Observable<ClusterView>;
  readonly leader: ControlLeaderClient;
  readonly timer: TimerService;
  readonly logger: Logger;
}

/** Reports symptoms of the primaries whose lease holder this VM is. */
export class PrimaryFailureReporter {
  private readonly lastReportAt = new Map<string, number>();

  private constructor(
    private readonly options: PrimaryFailureReporterOptions,
  ) {}

  /** Creates a reporter that has reported nothing. */
  static create(
    options: PrimaryFailureReporterOptions,
  ): PrimaryFailureReporter {
    return new PrimaryFailureReporter(options);
  }

  /**
   * Reports a symptom of a member to the control leader, unless the member is not
   * the primary, another VM is its lease holder, or it was reported just before.
   */
  async report(
    database: string,
    member: string,
    symptom: Symptom,
  ): Promise<void> {
    const {self, view, timer, leader, logger} = this.options;
    const group = findGroup(view.current, database);
    if (group?.primary !== member || group.holder !== self) return;
    const {term} = group;
    const key = `${database} ${symptom}`;
    const lastAt = this.lastReportAt.get(key) ?? -Infinity;
    if (timer.now() - lastAt < REPORT_INTERVAL_MILLISECONDS) return;
    this.lastReportAt.set(key, timer.now());
    logger.warn('reporting a primary failure to the control leader', {
      database,
      term,
      member,
      symptom,
    });
    const acknowledgement = await leader.call(
      REPORT_PRIMARY_FAILURE,
      {database, term, reporter: self, symptom},
      REPORT_TIMEOUT_MILLISECONDS,
    );
    acknowledgement.ifLeft(() =>
      logger.warn('primary failure report was not acknowledged', {
        report: `${database} ${term} ${symptom}`,
      }),
    );
  }
}
