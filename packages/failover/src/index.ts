/**
 * Detects the loss of a primary and promotes another member, without losing a
 * confirmed write and without two primaries at once.
 *
 * @packageDocumentation
 */
export {
  FailoverCoordinator,
  type FailoverCoordinatorOptions,
} from './failover_coordinator.js';
export {
  FailureReporter,
  type FailureReporterOptions,
} from './failure_reporter.js';
export {
  REPORT_SUSPECTED_PRIMARY,
  type PrimarySuspicion,
} from './failover_messages.js';
export {ReplicaReconciler} from './replica_reconciler.js';
