/**
 * What the control VMs decide: the catalogue, the members and terms of the
 * database groups, and the audit trail of every change.
 *
 * @packageDocumentation
 */
export {applyCommand, type Applied} from './apply_command.js';
export {ControlClient, type ControlClientOptions} from './control_client.js';
export {
  type ChangeOrigin,
  type CommandAnswer,
  type ControlCommand,
} from './control_command.js';
export {ControlLog, type ControlError} from './control_log.js';
export {
  EMPTY_CONTROL_STATE,
  type AuditRecord,
  type ControlState,
  type RememberedAnswer,
} from './control_state.js';
export {SoleControlLog} from './sole_control_log.js';
