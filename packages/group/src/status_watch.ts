import {Deferred, Observable, withTimeout} from '@apricotlock/flow';
import {MemberClient, MemberError, MemberStatus} from '@apricotlock/member';
import {TimerService} from '@apricotlock/timer';
import {Member} from '@apricotlock/topology';

const PRIMARY_HOLD_MILLISECONDS = 100;
const REPLICA_HOLD_MILLISECONDS = 1_000;
const TRANSFER_LIMIT_MILLISECONDS = 200;
const FRESH_TIMEOUT_MILLISECONDS = 200;
const PAUSE_AFTER_FAILURE_MILLISECONDS = 25;
const QUIET_PAUSE_MILLISECONDS = 20;

/** What is known of a member. */
export interface MemberObservation {
  /** The last status that came. */
  readonly status: MemberStatus | undefined;
  /** When the question was put that it answers, on the timer's clock. */
  readonly askedAt: number;
  /** Why nothing comes now, on a fresh connection too. */
  readonly failure: MemberError | undefined;
}

/**
 * Follows one member's status by long polls, in a task of its own. A primary's
 * polls are short, since a silent one must be noticed; a replica's are long.
 * While nobody waits for a change, polls are spaced out, so that a busy member
 * is not asked after each of its commits.
 */
export class StatusWatch {
  readonly observation = Observable.of<MemberObservation>({
    status: undefined,
    askedAt: 0,
    failure: undefined,
  });
  private stopped = false;
  private primary = false;
  private waiting = 0;
  private wake = Deferred.create<void>();

  private constructor(
    readonly member: Member,
    private readonly client: MemberClient,
    private readonly timer: TimerService,
  ) {}

  /** Starts to follow a member. */
  static start(
    member: Member,
    client: MemberClient,
    timer: TimerService,
  ): StatusWatch {
    const watch = new StatusWatch(member, client, timer);
    void watch.run();
    return watch;
  }

  /** Whether the member is the primary from now on. */
  regardAsPrimary(primary: boolean): void {
    this.primary = primary;
  }

  /** Somebody waits for a change, until the result is called. */
  await(): () => void {
    this.waiting += 1;
    this.wake.resolve();
    return () => {
      this.waiting -= 1;
    };
  }

  /** Ends the task. */
  stop(): void {
    this.stopped = true;
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      const answered = await this.poll();
      if (!answered) await this.timer.sleep(PAUSE_AFTER_FAILURE_MILLISECONDS);
      else if (this.waiting === 0) await this.quietPause();
    }
  }

  /** Ends early when somebody begins to wait. */
  private async quietPause(): Promise<void> {
    this.wake = Deferred.create<void>();
    const {promise} = this.wake;
    await withTimeout(this.timer, QUIET_PAUSE_MILLISECONDS, promise);
  }

  private async poll(): Promise<boolean> {
    const {status} = this.observation.current;
    const holdMilliseconds = this.primary
      ? PRIMARY_HOLD_MILLISECONDS
      : REPLICA_HOLD_MILLISECONDS;
    const heldAskedAt = this.timer.now();
    const held = await this.client.status(this.member.apiAddress, {
      ...(status === undefined ? {} : {unlike: status}),
      holdMilliseconds,
      timeoutMilliseconds: holdMilliseconds + TRANSFER_LIMIT_MILLISECONDS,
    });
    // An old connection may have gone silent while new ones work: only the
    // failure of a fresh one says anything of the member.
    const freshAskedAt = this.timer.now();
    const answer = held.isRight() ? held : await this.askAfresh();
    const askedAt = held.isRight() ? heldAskedAt : freshAskedAt;
    if (this.stopped) return true;
    answer.caseOf({
      Left: failure => this.failed(failure),
      Right: heard => this.heard(heard, askedAt),
    });
    return answer.isRight();
  }

  private askAfresh() {
    return this.client.status(this.member.apiAddress, {
      holdMilliseconds: 0,
      timeoutMilliseconds: FRESH_TIMEOUT_MILLISECONDS,
      freshConnection: true,
    });
  }

  private heard(status: MemberStatus, askedAt: number): void {
    this.observation.set({status, askedAt, failure: undefined});
  }

  private failed(failure: MemberError): void {
    this.observation.set({...this.observation.current, failure});
  }
}
