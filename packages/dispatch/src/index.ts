/**
 * Sessions of callers, and the way of their statements to members: which
 * member may run one, how fresh it has to be, how long to wait for it.
 *
 * @packageDocumentation
 */
export {type RouteOutcome} from './attempt.js';
export {ContactWatch, type ContactWatchOptions} from './contact_watch.js';
export {FreshnessBook, type Evidence} from './freshness_book.js';
export {
  FreshnessKeeper,
  type FreshnessKeeperOptions,
} from './freshness_keeper.js';
export {isCutOff, shouldCloseIdle, type Contact} from './isolation.js';
export {MemberStandings} from './member_standing.js';
export {
  appointmentPatience,
  attemptQueueMilliseconds,
  objectiveLeft,
  queueMilliseconds,
  type Missing,
  type Patience,
} from './patience.js';
export {PathHealth, type PathHealthOptions} from './path_health.js';
export {readOrder, type ReadNeeds} from './read_order.js';
export {retryPause, type Setback} from './retry_pause.js';
export {type OwnWrite, type RoutedStatement} from './routed_statement.js';
export {SessionContext, type Forwarded} from './session_context.js';
export {SessionHost, type SessionHostOptions} from './session_host.js';
export {SessionObserver} from './session_observer.js';
export {
  StatementRouter,
  type StatementRouterOptions,
} from './statement_router.js';
export {
  StatementSession,
  type StatementSessionOptions,
} from './statement_session.js';
export {WorkGate, type OpenWork, type WorkGateOptions} from './work_gate.js';
export {WorkHolder, type WorkResult} from './work_holder.js';
