import {TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {StatementAnswer} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {WorkRefusal, WorkStatement} from '@apricotlock/work';
import {OpenWork, WorkGate} from './work_gate.js';

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

  /** Waits for what becomes of the statement that was sent last. */
  async result(timeoutMilliseconds: number): Promise<WorkResult> {
    const {channel, machine} = this.work;
    const received = channel.receive();
    const message = await withTimeout(
      this.timer,
      timeoutMilliseconds,
      received,
    );
    if (message === TIMED_OUT) {
      this.gate.failed(machine);
      this.end();
      const reason = `${machine} did not answer in time`;
      return {kind: 'lost', mayHaveRun: true, timedOut: true, reason};
    }
    if (message === undefined) {
      this.gate.failed(machine);
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
    return this.result(statement.timeoutMilliseconds);
  }

  /** Gives the work up; an open transaction is rolled back. */
  end(): void {
    this.work.channel.send({kind: 'release'});
    this.work.channel.end();
  }
}
