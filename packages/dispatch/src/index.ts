/**
 * Sessions of callers, and the routing of their statements to members: which
 * member may run a statement, which minimum log position it must have, and how
 * long to wait for it.
 *
 * @packageDocumentation
 */
export {type RouteOutcome} from './attempt.js';
export {
  Authenticator,
  type Authentication,
  type AuthenticatorOptions,
  type PresentedCredential,
} from './authenticator.js';
export {type CallerIdentity, identifyCaller} from './caller_identity.js';
export {
  IsolationDetector,
  type IsolationDetectorOptions,
} from './isolation_detector.js';
export {
  PositionSampleHistory,
  type PositionSample,
} from './position_sample_history.js';
export {
  PrimaryPositionTracker,
  type PrimaryPositionTrackerOptions,
} from './primary_position_tracker.js';
export {
  isIsolated,
  shouldCloseIdle,
  type Connectivity,
  type ContactAges,
} from './isolation.js';
export {PeerContact, type PeerContactOptions} from './peer_contact.js';
export {MemberEstimates} from './member_estimates.js';
export {
  failoverWaitPolicy,
  attemptQueueMilliseconds,
  remainingObjectiveMilliseconds,
  queueMilliseconds,
  type PrimaryOutage,
  type WaitPolicy,
} from './wait_policy.js';
export {
  VirtualMachineHealth,
  type VirtualMachineHealthOptions,
} from './virtual_machine_health.js';
export {
  readOrder,
  type ReadPreferences,
  type ReadRequirement,
} from './read_order.js';
export {retryPause, type FailedAttempts} from './retry_pause.js';
export {type OwnWrite, type RoutedStatement} from './routed_statement.js';
export {SessionContext, type ForwardedStatement} from './session_context.js';
export {type DrainLimits} from './session_drain.js';
export {SessionHost, type SessionHostOptions} from './session_host.js';
export {SessionObserver, type RoutingEvent} from './session_observer.js';
export {
  StatementRouter,
  type StatementRouterOptions,
} from './statement_router.js';
export {
  StatementSession,
  type StatementSessionOptions,
} from './statement_session.js';
export {
  WorkDispatcher,
  type DispatchedWork,
  type WorkDispatcherOptions,
} from './work_dispatcher.js';
export {ViewFreshness} from './view_freshness.js';
export {WorkHandle, type WorkResult} from './work_handle.js';
