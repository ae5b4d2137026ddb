import {ClusterView, EMPTY_VIEW} from '@apricotlock/topology';
import {CommandAnswer} from './control_command.js';

/** One record of the audit trail. */
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

/** Part of the audit trail, as of one index of the log. */
export interface AuditTrail {
  /** Index of the last entry that was applied where the trail was read. */
  readonly index: number;
  readonly records: readonly AuditRecord[];
}

/** The answer to a change, stored so that a resend gets the same answer. */
export interface StoredAnswer {
  readonly changeId: string;
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
  readonly answer: CommandAnswer;
}

/** The state on which the control VMs agree. */
export interface ControlState {
  readonly view: ClusterView;
  readonly audit: readonly AuditRecord[];
  readonly answers: readonly StoredAnswer[];
  /** The operators' own document of the current catalogue, if it has one. */
  readonly document?: string | undefined;
}

/** The state before the first command. */
export const EMPTY_CONTROL_STATE: ControlState = {
  view: EMPTY_VIEW,
  audit: [],
  answers: [],
};
