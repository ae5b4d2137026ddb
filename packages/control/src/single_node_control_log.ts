import {Either, Right} from 'purify-ts';
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

  /** Always 1: a log without other nodes always leads, in its only term. */
  override get leadingTerm(): number {
    return 1;
  }

  override get isCertainlyLeading(): boolean {
    return true;
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
