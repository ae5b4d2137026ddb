import {Deferred, TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {StatementAnswer} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {WorkDown, WorkRefusal, WorkStatement} from '@apricotlock/work';
import {OpenWork, WorkGate} from './work_gate.js';

/** Work that takes longer raises the question whether its VM is there. */
const PATIENCE_MILLISECONDS = 80;

/** How a statement ended, as far as this VM knows. */
export type WorkResult =
  | {
      readonly kind: 'answered';
      readonly answer: StatementAnswer;
      readonly expectedWaitMilliseconds: number;
    }
  /** Nothing was run. */
  | {readonly kind: 'refused'; readonly refusal: WorkRefusal}
  | {
      readonly kind: 'lost';
      readonly mayHaveRun: boolean;
      readonly timedOut: boolean;
      readonly reason: string;
    };

/** Work on a member, as the session that asked for it sees it. */
export class WorkHolder {
  private ended = false;

  private constructor(
    private readonly work: OpenWork,
    private readonly gate: WorkGate,
    private readonly timer: TimerService,
  ) {}

  /** Work that was just begun. */
  static of(work: OpenWork, gate: WorkGate, timer: TimerService): WorkHolder {
    return new WorkHolder(work, gate, timer);
  }

  /** Which VM does it. */
  get machine(): string {
    return this.work.machine;
  }

  /**
   * Waits for what becomes of the statement that was sent last. One that can be
   * repeated is given up as soon as the VM seems lost; for any other the answer
   * may still come, and is worth the wait.
   */
  async result(
    timeoutMilliseconds: number,
    repeatable: boolean,
  ): Promise<WorkResult> {
    const {timer, gate} = this;
    const {channel, machine} = this.work;
    const received = channel.receive().then(message => this.taken(message));
    const first = Math.min(timeoutMilliseconds, PATIENCE_MILLISECONDS);
    const early = await withTimeout(timer, first, received);
    if (early !== TIMED_OUT) return early;
    const lostPath = Deferred.create<typeof TIMED_OUT>();
    void gate.check(machine).then(alive => {
      if (!alive && repeatable) lostPath.resolve(TIMED_OUT);
    });
    const rest = withTimeout(timer, timeoutMilliseconds - first, received);
    const late = await Promise.race([rest, lostPath.promise]);
    if (late !== TIMED_OUT) return late;
    this.end();
    const reason = `${machine} did not answer in time`;
    return {kind: 'lost', mayHaveRun: true, timedOut: true, reason};
  }

  private taken(message: WorkDown | undefined): WorkResult {
    const {machine} = this.work;
    if (message === undefined) {
      if (!this.ended) this.gate.broken(machine);
      const reason = `the link to ${machine} was lost`;
      return {kind: 'lost', mayHaveRun: true, timedOut: false, reason};
    }
    return message.kind === 'answer' ? {...message, kind: 'answered'} : message;
  }

  /** Sends the next statement of an open transaction. */
  async goOn(statement: WorkStatement): Promise<WorkResult> {
    if (!this.work.channel.send(statement)) {
      const reason = 'the work had ended';
      return {kind: 'lost', mayHaveRun: false, timedOut: false, reason};
    }
    return this.result(statement.timeoutMilliseconds, false);
  }

  /** Gives the work up; an open transaction is rolled back. */
  end(): void {
    this.ended = true;
    this.work.channel.send({kind: 'release'});
    this.work.channel.end();
  }
}
