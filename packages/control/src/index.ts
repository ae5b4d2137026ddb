/**
 * The state replicated by the control VMs: the catalogue, the members and terms
 * of the database groups, and the audit trail of all changes.
 *
 * @packageDocumentation
 */
export {applyCommand, type AppliedCommand} from './apply_command.js';
export {type CatalogueContent} from './catalogue_change.js';
export {type InitialVoter} from './bootstrap.js';
export {
  type ConsensusTimings,
  CONSENSUS_TIMINGS,
  SHORTEST_ELECTION_MILLISECONDS,
} from './consensus_timings.js';
export {ControlClient, type ControlClientOptions} from './control_client.js';
export {
  type ChangeOrigin,
  type CommandAnswer,
  type ControlCommand,
  type MemberReport,
} from './control_command.js';
export {type AuditRange, type CatalogueDocument} from './control_messages.js';
export {ControlLog, type ControlError} from './control_log.js';
export {
  type ControlMemberReport,
  type ControlReport,
} from './control_report.js';
export {
  EMPTY_CONTROL_STATE,
  type AuditRecord,
  type AuditTrail,
  type ControlState,
  type StoredAnswer,
} from './control_state.js';
export {MAXIMUM_VOTERS} from './control_configuration.js';
export {type FaultTolerance, requiredVoterCount} from './fault_tolerance.js';
export {DistributionTree} from './distribution_tree.js';
export {
  memberTransitions,
  type MemberTransition,
} from './member_transitions.js';
export {applyDelta, deltaBetween, type ViewDelta} from './view_delta.js';
export {DurableLog} from './durable_log.js';
export {
  type EntryBody,
  type LogEntry,
  type LogPosition,
  type Snapshot,
  type VoteState,
} from './log_entry.js';
export {RandomSource} from './random_source.js';
export {
  ReplicatedControlLog,
  type ReplicatedControlLogOptions,
} from './replicated_control_log.js';
export {SingleNodeControlLog} from './single_node_control_log.js';
export {
  ViewDistributor,
  type ViewDistributorOptions,
} from './view_distributor.js';
export {ViewStore} from './view_store.js';
export {describeStorageError, type StorageError} from './storage_error.js';
export {DiskFolder, StorageFile, StorageFolder} from './storage_folder.js';
