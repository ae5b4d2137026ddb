import {CallerFailure} from '@apricotlock/statement';
import {Consistency} from '@apricotlock/topology';

/** Decisions of the router that are counted. */
export type RoutingEvent =
  /** A member answered that it was behind the floor of a read. */
  | 'behind'
  /** A read was not sent to a replica that was known to be behind. */
  | 'behindSkipped'
  /** A read waited for a replica to catch up. */
  | 'waitedForReplica'
  /** A member was ejected from reads because it fails or is slow. */
  | 'ejected'
  /** A read that a member failed was run on another one. */
  | 'failedElsewhere'
  /**
   * A statement was refused at once, since no member could serve it in time.
   */
  | 'refusedEarly'
  /** A statement was not tried again, since too many retries came before. */
  | 'retryDenied';

/** Receives the results of callers' requests, for metrics. */
export abstract class SessionObserver {
  /**
   * Called when the answer of a member is ready, with the time since the
   * request was read.
   */
  abstract onAnswer(consistency: Consistency, milliseconds: number): void;

  /** Called when a request has failed or a session was refused. */
  abstract onFailure(kind: CallerFailure['kind']): void;

  /**
   * Called when an operation was refused by the quota of its organisation,
   * which is also reported as a failure of kind `notRun`.
   */
  onQuotaRefusal(): void {
    return undefined;
  }

  /** Called when the router has made a decision that is counted. */
  onRouting(_event: RoutingEvent): void {
    return undefined;
  }
}
