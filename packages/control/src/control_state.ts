import {ClusterView, EMPTY_VIEW} from '@apricotlock/topology';
import {CommandAnswer} from './control_command.js';

/** One line of the audit trail. */
export interface AuditRecord {
  readonly index: number;
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
  readonly actor: string;
  readonly action: string;
  readonly subject: string;
  readonly fromVersion: number;
  readonly result: string;
}

/** A part of the audit trail, as of one index of the log. */
export interface AuditTrail {
  /** The newest place of the log that was carried out where this was read. */
  readonly index: number;
  readonly records: readonly AuditRecord[];
}

/** The answer that a change got, for those who ask again. */
export interface RememberedAnswer {
  readonly changeId: string;
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
  readonly answer: CommandAnswer;
}

/** All that the control VMs agree on. */
export interface ControlState {
  readonly view: ClusterView;
  readonly audit: readonly AuditRecord[];
  readonly answers: readonly RememberedAnswer[];
  /** The operators' own document of the catalogue in force, if it has one. */
  readonly document?: string | undefined;
}

/** The state before the first command. */
export const EMPTY_CONTROL_STATE: ControlState = {
  view: EMPTY_VIEW,
  audit: [],
  answers: [],
};
