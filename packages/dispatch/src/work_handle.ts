import {Deferred, TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {StatementAnswer} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {WorkServerMessage, WorkRefusal, WorkStatement} from '@apricotlock/work';
import {DispatchedWork, WorkDispatcher} from './work_dispatcher.js';

/** Once work has taken this long, its VM is pinged. */
const LIVENESS_CHECK_DELAY_MILLISECONDS = 80;

/** Result of a statement, as far as this VM knows. */
export type WorkResult =
  | {
      readonly kind: 'answered';
      readonly answer: StatementAnswer;
      readonly expectedWaitMilliseconds: number;
    }
  /** The statement was not run. */
  | {readonly kind: 'refused'; readonly refusal: WorkRefusal}
  | {
      readonly kind: 'lost';
      readonly mayHaveRun: boolean;
      readonly timedOut: boolean;
      /**
       * Whether the link to the VM was lost, which is no sign of the member.
       */
      readonly linkLost?: boolean;
      readonly reason: string;
    };

/** Handle by which a session uses its work on a member. */
export class WorkHandle {
  private ended = false;

  private constructor(
    private readonly work: DispatchedWork,
    private readonly dispatcher: WorkDispatcher,
    private readonly timer: TimerService,
  ) {}

  /** Creates the handle of work that has just begun. */
  static of(
    work: DispatchedWork,
    dispatcher: WorkDispatcher,
    timer: TimerService,
  ): WorkHandle {
    return new WorkHandle(work, dispatcher, timer);
  }

  /** The name of the VM that does the work. */
  get machine(): string {
    return this.work.machine;
  }

  /**
   * Resolves to the result of the statement that was sent last. A repeatable
   * statement is abandoned as soon as the VM is unresponsive. Any other is
   * awaited until its timeout, because its answer may still arrive.
   */
  async awaitResult(
    timeoutMilliseconds: number,
    repeatable: boolean,
  ): Promise<WorkResult> {
    const {timer, dispatcher} = this;
    const {channel, machine} = this.work;
    const received = channel.receive().then(message => this.toResult(message));
    const checkDelayMilliseconds = Math.min(
      timeoutMilliseconds,
      LIVENESS_CHECK_DELAY_MILLISECONDS,
    );
    const earlyResult = await withTimeout(
      timer,
      checkDelayMilliseconds,
      received,
    );
    if (earlyResult !== TIMED_OUT) return earlyResult;
    const unresponsive = Deferred.create<typeof TIMED_OUT>();
    void dispatcher.checkLiveness(machine).then(alive => {
      if (!alive && repeatable) unresponsive.resolve(TIMED_OUT);
    });
    const remaining = withTimeout(
      timer,
      timeoutMilliseconds - checkDelayMilliseconds,
      received,
    );
    const lateResult = await Promise.race([remaining, unresponsive.promise]);
    if (lateResult !== TIMED_OUT) return lateResult;
    this.end();
    const reason = `${machine} did not answer in time`;
    return {kind: 'lost', mayHaveRun: true, timedOut: true, reason};
  }

  private toResult(message: WorkServerMessage | undefined): WorkResult {
    const {machine} = this.work;
    if (message === undefined) {
      if (!this.ended) this.dispatcher.reportBrokenLink(machine);
      const reason = `the link to ${machine} was lost`;
      const loss = {mayHaveRun: true, timedOut: false, linkLost: true, reason};
      return {kind: 'lost', ...loss};
    }
    return message.kind === 'answer' ? {...message, kind: 'answered'} : message;
  }

  /** Sends the next statement of an open transaction, and awaits its result. */
  async continueTransaction(statement: WorkStatement): Promise<WorkResult> {
    if (!this.work.channel.send(statement)) {
      const reason = 'the work on the member had already ended';
      return {kind: 'lost', mayHaveRun: false, timedOut: false, reason};
    }
    return this.awaitResult(statement.timeoutMilliseconds, false);
  }

  /** Ends the work. An open transaction is rolled back. */
  end(): void {
    this.ended = true;
    this.work.channel.send({kind: 'release'});
    this.work.channel.end();
  }
}
