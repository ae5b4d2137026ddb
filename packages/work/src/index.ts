/**
 * Runs callers' statements on members: connection pools, queues with admission
 * control, and the primary leases under which an entry VM uses a primary.
 *
 * @packageDocumentation
 */
export {
  chooseIdle,
  chooseOpening,
  mustYield,
  type ConnectionDemand,
  type OpeningChoice,
  type PooledConnection,
  type PoolFacts,
} from './connection_choice.js';
export {type ConnectionLimits} from './connection_limits.js';
export {
  ConnectionContext,
  preparedName,
  type ContextTransition,
} from './connection_context.js';
export {
  COUNT_TRANSACTIONS,
  type GroupTerm,
  RENEW_LEASES,
  REPORT_PRIMARY_FAILURE,
  REVOKE_LEASE,
  symptomSchema,
  type Symptom,
} from './lease_messages.js';
export {
  ControlLeaderClient,
  type ControlLeaderClientOptions,
} from './control_leader_client.js';
export {MemberWorker, type MemberWorkerOptions} from './member_worker.js';
export {PrimaryLeases} from './primary_leases.js';
export {type ClockReading} from './clock_reading.js';
export {DrainingMembers} from './draining_members.js';
export {
  CURRENT_POSITION,
  PING,
  RUN_WORK,
  type TransactionStart,
  type WorkServerMessage,
  type WorkRefusal,
  type WorkRefusalReason,
  type WorkRequest,
  type WorkStatement,
  type WorkText,
  type WorkClientMessage,
} from './work_messages.js';
export {type ConnectionEvent, type WorkObserver} from './work_observer.js';
export {
  WorkQueue,
  type QueueRefusal,
  type QueueRequest,
  type QueueRequester,
  type WorkQueueOptions,
} from './work_queue.js';
export {
  WorkService,
  type MemberRole,
  type WorkServiceOptions,
} from './work_service.js';
