import {ControlCommand} from './control_command.js';
import {ControlConfiguration} from './control_configuration.js';
import {ControlState} from './control_state.js';

/** The content of a log entry. */
export type EntryBody =
  | {readonly kind: 'command'; readonly command: ControlCommand}
  /** Applies as soon as it is in a VM's log, even before it is committed. */
  | {
      readonly kind: 'configuration';
      readonly configuration: ControlConfiguration;
      readonly reason: string;
      readonly at: number;
    }
  /** Lets a new leader commit all entries of earlier terms. */
  | {readonly kind: 'termStart'};

/** One entry of the log. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly body: EntryBody;
}

/** The index and term of a log entry. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

/**
 * The state after all entries up to a position, which it replaces in the log.
 */
export interface Snapshot extends LogPosition {
  readonly configuration: ControlConfiguration;
  readonly state: ControlState;
}

/** What a control VM must store besides the log. */
export interface VoteState {
  readonly diskId: string;
  /**
   * The cluster to which the disk belongs; `undefined` while it belongs to
   * none.
   */
  readonly cluster: string | undefined;
  readonly term: number;
  /** The disk that received this one's vote in the term. */
  readonly vote: string | undefined;
}
