import {CallerFailure} from '@apricotlock/statement';
import {Consistency} from '@apricotlock/topology';

/** Counts what becomes of callers' requests. */
export abstract class SessionObserver {
  /** A member's answer was passed on, so long after the request. */
  abstract answered(consistency: Consistency, milliseconds: number): void;

  /** A request failed, or a session was refused. */
  abstract failed(kind: CallerFailure['kind']): void;
}
