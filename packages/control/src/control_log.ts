import {Either} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {CommandAnswer, ControlCommand} from './control_command.js';
import {ControlReport} from './control_report.js';
import {ControlState} from './control_state.js';

/** Why a command has no answer. */
export type ControlError =
  /** It was not taken: there is no quorum or no leader to be reached. */
  | {readonly kind: 'unavailable'; readonly reason: string}
  /** It may have been taken: ask again with the same change id. */
  | {readonly kind: 'unknown'; readonly reason: string};

/** The replicated log of decisions, from any process's point of view. */
export abstract class ControlLog {
  /** What this process knows to be decided; it may be behind. */
  abstract readonly state: Observable<ControlState>;

  /** Whether this process leads the quorum now, as far as it knows. */
  abstract readonly leading: Observable<boolean>;

  /** The name of the leader, as far as this process knows. */
  abstract readonly leader: Observable<string | undefined>;

  /** How long ago this process was last known to be in touch with a quorum. */
  abstract readonly ageMilliseconds: number;

  /**
   * The term of the quorum in which this process leads; `undefined` unless
   * all that was decided before is known here.
   */
  abstract readonly leadingTerm: number | undefined;

  /**
   * Whether this process led, with a quorum behind it, at some moment after
   * the call. What `state` shows then was the newest at the time of the call.
   */
  abstract confirmLeading(): Promise<boolean>;

  /** How the log is doing; complete only where this process leads. */
  abstract report(): ControlReport;

  /** Puts a command into the log and waits until it has been carried out. */
  abstract propose(
    command: ControlCommand,
  ): Promise<Either<ControlError, CommandAnswer>>;
}
