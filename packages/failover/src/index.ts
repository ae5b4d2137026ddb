/**
 * Noticing that a primary is lost, and putting another in its place without
 * losing a confirmed write or having two at once.
 *
 * @packageDocumentation
 */
export {
  FailoverCoordinator,
  type FailoverOptions,
} from './failover_coordinator.js';
export {
  FailureReporter,
  type FailureReporterOptions,
} from './failure_reporter.js';
export {SUSPECT, type Suspicion} from './failover_messages.js';
export {ReplicaReconciler} from './replica_reconciler.js';
