import {Either, Left, Right} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {applyCommand} from './apply_command.js';
import {CommandAnswer, ControlCommand} from './control_command.js';
import {ControlError, ControlLog} from './control_log.js';
import {checkEntryBody} from './entry_check.js';
import {ControlReport} from './control_report.js';
import {ControlState, EMPTY_CONTROL_STATE} from './control_state.js';

/** A log in the memory of one process, for tests of other packages. */
export class SingleNodeControlLog extends ControlLog {
  override readonly state = Observable.of<ControlState>(EMPTY_CONTROL_STATE);
  override readonly leading = Observable.of(true);
  override readonly ageMilliseconds = 0;
  override readonly leader: Observable<string | undefined>;

  private constructor(self: string) {
    super();
    this.leader = Observable.of<string | undefined>(self);
  }

  /** Creates an empty log that `self` leads. */
  static create(self: string): SingleNodeControlLog {
    return new SingleNodeControlLog(self);
  }

  /** 1 until {@link loseLead} is called. */
  override get leadingTerm(): number | undefined {
    return this.leading.current ? 1 : undefined;
  }

  override get isCertainlyLeading(): boolean {
    return this.leading.current;
  }

  /** Ends the lead of this process. Another one accepts commands from then on. */
  loseLead(): void {
    this.leading.set(false);
  }

  override async confirmLeading(): Promise<boolean> {
    return true;
  }

  override report(): ControlReport {
    return {
      leading: true,
      leader: this.leader.current ?? null,
      term: 1,
      index: this.state.current.view.index,
      quorum: 1,
      margin: 0,
      members: [],
    };
  }

  override async proposeInTerm(
    command: ControlCommand,
    leadingTerm: number,
  ): Promise<Either<ControlError, CommandAnswer>> {
    if (this.leadingTerm === leadingTerm) return this.propose(command);
    return Left({kind: 'unavailable', reason: 'the term is over'});
  }

  override async propose(
    command: ControlCommand,
  ): Promise<Either<ControlError, CommandAnswer>> {
    const checked = checkEntryBody({kind: 'command', command});
    if (checked.isLeft()) {
      return Right({kind: 'refused', reason: checked.extract() as string});
    }
    const index = this.state.current.view.index + 1;
    const applied = applyCommand(this.state.current, index, command);
    this.state.set(applied.state);
    return Right(applied.answer);
  }
}
