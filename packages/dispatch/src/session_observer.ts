import {CallerFailure} from '@apricotlock/statement';
import {Consistency} from '@apricotlock/topology';

/** Receives the results of callers' requests, for metrics. */
export abstract class SessionObserver {
  /**
   * Called when the answer of a member is ready, with the time since the request
   * was read.
   */
  abstract onAnswer(consistency: Consistency, milliseconds: number): void;

  /** Called when a request has failed or a session was refused. */
  abstract onFailure(kind: CallerFailure['kind']): void;

  /**
   * Called when an operation was refused by the quota of its organisation, which
   * is also reported as a failure of kind `notRun`.
   */
  abstract onQuotaRefusal(): void;
}
