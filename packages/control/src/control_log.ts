import {Either} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {CommandAnswer, ControlCommand} from './control_command.js';
import {ControlReport} from './control_report.js';
import {ControlState} from './control_state.js';

/** Why a command has no answer. */
export type ControlError =
  /**
   * The command was not accepted: there is no quorum, or no leader can be
   * reached.
   */
  | {readonly kind: 'unavailable'; readonly reason: string}
  /**
   * The command may have been accepted; it can be repeated under the same
   * change id.
   */
  | {readonly kind: 'unknown'; readonly reason: string};

/** The replicated log of commands, as one process sees it. */
export abstract class ControlLog {
  /**
   * The committed state as known to this process, which may be behind the
   * leader.
   */
  abstract readonly state: Observable<ControlState>;

  /** Whether this process currently leads the quorum, as far as it knows. */
  abstract readonly leading: Observable<boolean>;

  /** The name of the leader, as far as this process knows. */
  abstract readonly leader: Observable<string | undefined>;

  /** Time since this process last had contact with a quorum. */
  abstract readonly ageMilliseconds: number;

  /**
   * Time since `state` was known to be the newest one of all, by messages
   * between control VMs alone; `Infinity` if unknown.
   */
  get stateAgeMilliseconds(): number {
    return this.leading.current ? this.ageMilliseconds : Infinity;
  }

  /**
   * The term in which this process leads; `undefined` if it does not lead, or
   * does not know yet all entries that were committed before its term.
   */
  abstract readonly leadingTerm: number | undefined;

  /**
   * Returns whether this process led, confirmed by a quorum, at some moment
   * after the call. If so, `state` is at least as new as any state committed
   * before the call.
   */
  abstract confirmLeading(): Promise<boolean>;

  /**
   * Whether this process is certain to lead at this moment: a quorum has
   * followed it so recently that no other VM can have been elected. It still
   * leads when a message that is sent now arrives, unless the message is held up
   * on its way.
   */
  abstract readonly isCertainlyLeading: boolean;

  /** Returns the status of the log, which is complete only on the leader. */
  abstract report(): ControlReport;

  /** Appends a command to the log and waits until it has been applied. */
  abstract propose(
    command: ControlCommand,
  ): Promise<Either<ControlError, CommandAnswer>>;

  /**
   * Appends a command only in a term in which this process leads, and waits
   * until it has been applied. For decisions of the leader: what it has observed
   * says nothing once another VM has led, so such a command is never forwarded
   * to a successor or repeated in a later term.
   */
  abstract proposeInTerm(
    command: ControlCommand,
    leadingTerm: number,
  ): Promise<Either<ControlError, CommandAnswer>>;
}
