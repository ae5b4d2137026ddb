import {PeerCall} from '@apricotlock/peer';
import {ClusterView} from '@apricotlock/topology';
import {AuditRecord} from './control_state.js';
import {checkOf} from './consensus_messages.js';
import {commandSchema, proposeOutcomeSchema} from './control_schemas.js';

/** Carries a command to a control VM, which finds the leader. */
export const PROPOSE = PeerCall.define(
  'control.propose',
  checkOf(commandSchema),
  checkOf(proposeOutcomeSchema),
);

/** Asks for the newest view, if it is newer than `index`. */
export const FETCH_VIEW = PeerCall.define<
  {readonly index: number},
  {readonly view: ClusterView | undefined}
>(
  'control.fetchView',
  candidate => fields(candidate, 'index'),
  candidate => fields(candidate),
);

/** Tells of a new view. */
export const PUSH_VIEW = PeerCall.define<
  {readonly view: ClusterView},
  {readonly index: number}
>(
  'control.pushView',
  candidate => fields(candidate, 'view'),
  candidate => fields(candidate, 'index'),
);

/** Asks a control VM for the audit trail after an index. */
export const FETCH_AUDIT = PeerCall.define<
  {readonly since: number},
  {readonly records: readonly AuditRecord[]}
>(
  'control.fetchAudit',
  candidate => fields(candidate, 'since'),
  candidate => fields(candidate, 'records'),
);

function fields<T extends object>(
  candidate: unknown,
  ...names: readonly string[]
): T | undefined {
  if (typeof candidate !== 'object' || candidate === null) return undefined;
  return names.every(name => name in candidate) ? (candidate as T) : undefined;
}
