/**
 * Running callers' statements on members: scarce connections and slots, who
 * waits and who is refused, and the leases under which a primary is used.
 *
 * @packageDocumentation
 */
export {type ConnectionLimits} from './connection_set.js';
export {
  ConnectionContext,
  preparedName,
  type ContextChange,
} from './connection_context.js';
export {
  type GroupTerm,
  RENEW_LEASES,
  REPORT_PRIMARY,
  STOP_USING,
  symptomSchema,
  type Symptom,
} from './lease_messages.js';
export {LeaderClient, type LeaderClientOptions} from './leader_client.js';
export {MemberWorker, type MemberWorkerOptions} from './member_worker.js';
export {PrimaryLeases, type RenewalStart} from './primary_leases.js';
export {
  CURRENT_POSITION,
  PING,
  WORK,
  type Opens,
  type WorkDown,
  type WorkRefusal,
  type WorkRefusalReason,
  type WorkRequest,
  type WorkStatement,
  type WorkText,
  type WorkUp,
} from './work_messages.js';
export {
  WorkQueue,
  type QueueRefusal,
  type WorkDemand,
  type WorkQueueOptions,
} from './work_queue.js';
export {WorkService, type WorkServiceOptions} from './work_service.js';
