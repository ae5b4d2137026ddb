/**
 * Rate limits of organisations, which hold over all VMs together. The
 * coordinator of an organisation grants operations from a token bucket, and the
 * VMs that serve its callers keep small allowances of granted operations.
 *
 * @packageDocumentation
 */
export {OperationQuota, type QuotaDecision} from './operation_quota.js';
export {QuotaClient, type QuotaClientOptions} from './quota_client.js';
export {
  QuotaCoordinator,
  type QuotaCoordinatorOptions,
} from './quota_coordinator.js';
export {type QuotaCounts} from './quota_counts.js';
export {
  GRANT,
  type GrantAnswer,
  type GrantItem,
  type GrantRequest,
} from './quota_messages.js';
