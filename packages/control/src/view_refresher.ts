import {Observable, TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {SHORTEST_ELECTION_MILLISECONDS} from './consensus_timings.js';
import {FetchedView} from './control_messages.js';

/** Requests may come from callers, who must not make many fetches from it. */
const MINIMUM_INTERVAL_MILLISECONDS = 100;
const RUN_MILLISECONDS = 500;
/** After this time another control VM is asked. */
const ATTEMPT_MILLISECONDS = 150;
const RETRY_MILLISECONDS = 20;

/** Dependencies of {@link ViewRefresher}. */
export interface ViewRefresherOptions {
  readonly self: string;
  readonly timer: TimerService;
  readonly machines: Observable<readonly VirtualMachine[]>;
  /** Returns the VM that is believed to lead. */
  readonly root: () => string | undefined;
  /** Returns the latest time at which the active view is known to be newest. */
  readonly knownCurrentAt: () => number;
  /** Fetches and activates; `undefined` if nothing could be activated. */
  readonly fetchFrom: (
    other: VirtualMachine,
  ) => Promise<FetchedView | undefined>;
}

/**
 * Fetches the newest view on request, for a decision that must not be made on
 * an older one. Requests of the same time share one fetch.
 */
export class ViewRefresher {
  private lastRun: Promise<void> = Promise.resolve();
  /**
   * The run that has not begun yet, which serves all requests until it does.
   */
  private waitingRun: Promise<void> | undefined;
  private lastBegunAt = -Infinity;

  private constructor(private readonly options: ViewRefresherOptions) {}

  /** Creates a refresher that fetches nothing by itself. */
  static create(options: ViewRefresherOptions): ViewRefresher {
    return new ViewRefresher(options);
  }

  /**
   * Resolves once a view is active that has all changes acknowledged before
   * this call, or the time is over.
   */
  async refresh(timeoutMilliseconds: number): Promise<void> {
    // A run that has begun may have missed a change that was made since.
    this.waitingRun ??= this.runAfterLast();
    await withTimeout(this.options.timer, timeoutMilliseconds, this.waitingRun);
  }

  private async runAfterLast(): Promise<void> {
    const {timer} = this.options;
    await this.lastRun;
    const pause =
      this.lastBegunAt + MINIMUM_INTERVAL_MILLISECONDS - timer.now();
    if (pause > 0) await timer.sleep(pause);
    this.waitingRun = undefined;
    this.lastBegunAt = timer.now();
    this.lastRun = this.run(this.lastBegunAt);
    await this.lastRun;
  }

  private async run(begunAt: number): Promise<void> {
    const {timer, root, knownCurrentAt, fetchFrom} = this.options;
    let leader = root();
    for (let attempt = 0; ; attempt++) {
      const other = this.targetOf(attempt, leader);
      const fetched =
        other &&
        (await withTimeout(timer, ATTEMPT_MILLISECONDS, fetchFrom(other)));
      if (knownCurrentAt() >= begunAt) return;
      if (fetched !== undefined && fetched !== TIMED_OUT) {
        if (isFromLeader(fetched, other)) return;
        leader = fetched.root ?? leader;
      }
      if (timer.now() - begunAt >= RUN_MILLISECONDS) return;
      await timer.sleep(RETRY_MILLISECONDS);
    }
  }

  /**
   * Returns the leader on every other attempt, else the other voters in turn.
   */
  private targetOf(
    attempt: number,
    leader: string | undefined,
  ): VirtualMachine | undefined {
    const {machines, self} = this.options;
    const voters = machines.current.filter(
      ({controlVoter, name}) => controlVoter && name !== self,
    );
    const known = voters.find(({name}) => name === leader);
    if (attempt % 2 === 0 && known !== undefined) return known;
    const others = voters.filter(voter => voter !== known);
    const turn = known === undefined ? attempt : attempt >> 1;
    return others[turn % Math.max(1, others.length)] ?? known;
  }
}

/**
 * Returns whether a view is that of a leader which a quorum cannot have
 * replaced yet, so that it has all acknowledged changes.
 */
function isFromLeader(
  {root, ageMilliseconds}: FetchedView,
  other: VirtualMachine | undefined,
): boolean {
  return (
    root === other?.name && ageMilliseconds < SHORTEST_ELECTION_MILLISECONDS
  );
}
