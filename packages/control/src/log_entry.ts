import {ControlCommand} from './control_command.js';
import {ControlConfiguration} from './control_configuration.js';
import {ControlState} from './control_state.js';

/** What one place of the log holds. */
export type EntryBody =
  | {readonly kind: 'command'; readonly command: ControlCommand}
  /** In force from the moment it is in a VM's log, decided or not. */
  | {
      readonly kind: 'configuration';
      readonly configuration: ControlConfiguration;
      readonly reason: string;
      readonly at: number;
    }
  /** Lets a new leader learn that all before it is decided. */
  | {readonly kind: 'termStart'};

/** One place of the log. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly body: EntryBody;
}

/** A place of the log without what it holds. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

/** All that came of the log up to a place, so that it needs not be kept. */
export interface Snapshot extends LogPosition {
  readonly configuration: ControlConfiguration;
  readonly state: ControlState;
}

/** What a control VM must remember besides the log. */
export interface VoteState {
  readonly diskId: string;
  /** Of which system the disk is; `undefined` while it belongs to none. */
  readonly cluster: string | undefined;
  readonly term: number;
  /** The disk that got this one's vote in the term. */
  readonly vote: string | undefined;
}
