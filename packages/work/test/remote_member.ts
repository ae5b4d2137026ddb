import {MemberCommand, StatementAnswer} from '@apricotlock/statement';
import {ManualTimerService} from '@apricotlock/timer';
import {complete} from './fake_member.js';

/** A member at a distance, which runs statements on its own slots. */
export interface RemoteMemberOptions {
  readonly slots: number;
  /** Statements that wait for a slot; any more are answered as not run. */
  readonly queueLength: number;
  /** The time of a command and its answer on the way, in both directions. */
  readonly roundTripMilliseconds: number;
  /** The work of the statements in turn. */
  readonly workMilliseconds: readonly number[];
}

/** Answers commands as a member with slots and a queue does. */
export class RemoteMember {
  private running = 0;
  private started = 0;
  private readonly queue: Array<() => void> = [];
  /** The highest number of statements that ran or waited here at once. */
  peak = 0;
  /** The number of statements that were not run because the queue was full. */
  shed = 0;

  constructor(
    private readonly timer: ManualTimerService,
    private readonly options: RemoteMemberOptions,
  ) {}

  async answer(command: MemberCommand): Promise<StatementAnswer> {
    const half = this.options.roundTripMilliseconds / 2;
    await this.timer.sleep(half);
    const answer = await this.handle(command);
    await this.timer.sleep(half);
    return answer;
  }

  private async handle(command: MemberCommand): Promise<StatementAnswer> {
    if (command.kind === 'begin') return complete('transaction');
    if (command.kind !== 'caller') return complete();
    const {slots, queueLength} = this.options;
    if (this.running >= slots && this.queue.length >= queueLength) {
      this.shed += 1;
      const error = {kind: 'busy', code: 'BUSY', text: ''} as const;
      return {...complete(), end: {kind: 'error', error}};
    }
    await this.takeSlot();
    const {workMilliseconds} = this.options;
    const work = workMilliseconds[this.started++ % workMilliseconds.length];
    await this.timer.sleep(work ?? 0);
    this.running -= 1;
    this.queue.shift()?.();
    return complete();
  }

  private async takeSlot(): Promise<void> {
    this.peak = Math.max(this.peak, this.running + this.queue.length + 1);
    if (this.running >= this.options.slots) {
      await new Promise<void>(resolve => this.queue.push(resolve));
    }
    this.running += 1;
  }
}
