import {Deferred, Observable, withTimeout} from '@apricotlock/flow';
import {MemberClient, MemberError, MemberStatus} from '@apricotlock/member';
import {TimerService} from '@apricotlock/timer';
import {Member} from '@apricotlock/topology';

/** How long a primary may delay an answer; short, to notice its loss soon. */
const PRIMARY_HOLD_MILLISECONDS = 100;
const REPLICA_HOLD_MILLISECONDS = 1_000;
/** Time that a poll may take in addition to its hold. */
const TRANSFER_TIMEOUT_MILLISECONDS = 200;
const FRESH_CONNECTION_TIMEOUT_MILLISECONDS = 200;
const PAUSE_AFTER_FAILURE_MILLISECONDS = 25;
/** Pause between polls while nothing waits for a change. */
const IDLE_PAUSE_MILLISECONDS = 20;

/** The last known status of a member, and its current failure, if any. */
export interface MemberObservation {
  /** The last status that was received. */
  readonly status: MemberStatus | undefined;
  /** The time, on the timer's clock, at which `status` was requested. */
  readonly requestedAt: number;
  /** Why the last request failed, even on a new connection. */
  readonly failure: MemberError | undefined;
}

/**
 * Tracks the status of one member by long polling. A primary may hold a poll
 * only briefly, so that its loss is noticed soon, and a replica for longer.
 * While nothing waits for a change, polls are spaced, so that a busy member is
 * not polled after each of its commits.
 */
export class StatusWatch {
  readonly observation = Observable.of<MemberObservation>({
    status: undefined,
    requestedAt: 0,
    failure: undefined,
  });
  private stopped = false;
  private isPrimary = false;
  private waiterCount = 0;
  private waiterAdded = Deferred.create<void>();

  private constructor(
    readonly member: Member,
    private readonly client: MemberClient,
    private readonly timer: TimerService,
  ) {}

  /** Starts polling a member. */
  static start(
    member: Member,
    client: MemberClient,
    timer: TimerService,
  ): StatusWatch {
    const watch = new StatusWatch(member, client, timer);
    void watch.run();
    return watch;
  }

  /** Sets whether later polls treat the member as the primary. */
  setIsPrimary(primary: boolean): void {
    this.isPrimary = primary;
  }

  /**
   * Registers a waiter: until the returned function is called, polls follow
   * each other without a pause.
   */
  addWaiter(): () => void {
    this.waiterCount += 1;
    this.waiterAdded.resolve();
    return () => {
      this.waiterCount -= 1;
    };
  }

  /** Stops polling and ignores the answer to a poll in progress. */
  stop(): void {
    this.stopped = true;
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      const answered = await this.poll();
      if (!answered) await this.timer.sleep(PAUSE_AFTER_FAILURE_MILLISECONDS);
      else if (this.waiterCount === 0) await this.pauseBetweenPolls();
    }
  }

  /** Pauses between polls; ends early when a waiter is added. */
  private async pauseBetweenPolls(): Promise<void> {
    this.waiterAdded = Deferred.create<void>();
    const {promise} = this.waiterAdded;
    await withTimeout(this.timer, IDLE_PAUSE_MILLISECONDS, promise);
  }

  /** Polls once; resolves to whether the member answered. */
  private async poll(): Promise<boolean> {
    const {status} = this.observation.current;
    const holdMilliseconds = this.isPrimary
      ? PRIMARY_HOLD_MILLISECONDS
      : REPLICA_HOLD_MILLISECONDS;
    const longPollRequestedAt = this.timer.now();
    const longPollAnswer = await this.client.fetchStatus(
      this.member.apiAddress,
      {
        ...(status === undefined ? {} : {knownStatus: status}),
        holdMilliseconds,
        timeoutMilliseconds: holdMilliseconds + TRANSFER_TIMEOUT_MILLISECONDS,
      },
    );
    // A reused connection may be unresponsive while new ones work, so a failure
    // counts only if a request on a new connection fails too.
    const freshRequestedAt = this.timer.now();
    const answer = longPollAnswer.isRight()
      ? longPollAnswer
      : await this.fetchOnFreshConnection();
    const requestedAt = longPollAnswer.isRight()
      ? longPollRequestedAt
      : freshRequestedAt;
    if (this.stopped) return true;
    answer.caseOf({
      Left: failure => this.recordFailure(failure),
      Right: newStatus => this.recordStatus(newStatus, requestedAt),
    });
    return answer.isRight();
  }

  private fetchOnFreshConnection() {
    return this.client.fetchStatus(this.member.apiAddress, {
      holdMilliseconds: 0,
      timeoutMilliseconds: FRESH_CONNECTION_TIMEOUT_MILLISECONDS,
      freshConnection: true,
    });
  }

  private recordStatus(status: MemberStatus, requestedAt: number): void {
    this.observation.set({status, requestedAt, failure: undefined});
  }

  private recordFailure(failure: MemberError): void {
    this.observation.set({...this.observation.current, failure});
  }
}
