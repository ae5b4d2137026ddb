/**
 * Rate limits of organisations, which hold over all VMs together.
 *
 * @packageDocumentation
 */
export {OperationQuota, type QuotaDecision} from './operation_quota.js';
