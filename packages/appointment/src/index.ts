/**
 * Primary failover: selects the primary of each group and the entry VM that
 * holds its lease, and replaces either without losing acknowledged commits or
 * having two lease holders at once.
 *
 * @packageDocumentation
 */
export {
  PrimarySupervisor,
  type PrimarySupervisorOptions,
} from './primary_supervisor.js';
export {
  PrimaryFailover,
  type FailoverCause,
  type PrimaryFailoverOptions,
} from './primary_failover.js';
export {DrainDeadlines, type DrainDeadlinesOptions} from './drain_deadlines.js';
export {LEASE_MILLISECONDS} from './lease_duration.js';
export {LeaseGrantor, type LeaseGrantorOptions} from './lease_grantor.js';
export {
  MemberAdmission,
  type AdmissionRefusal,
  type MemberAdmissionOptions,
} from './member_admission.js';
export {
  MemberAdminClient,
  type MemberWithReport,
  type MemberAdminError,
} from './member_admin_client.js';
export {
  PromotionClient,
  type PromotionAuthority,
  type PromotionError,
} from './promotion_client.js';
export {
  RemovedLogCheck,
  type RemovedLogCheckOptions,
} from './removed_log_check.js';
export {
  requiredFencedCount,
  haveNotAdvanced,
  highestTerm,
  isSynchronous,
  findPrimary,
  longestLog,
  presentMembers,
} from './replication_state.js';
