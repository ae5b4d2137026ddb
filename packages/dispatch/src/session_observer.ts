import {CallerFailure} from '@apricotlock/statement';

/** Counts what becomes of callers' requests. */
export abstract class SessionObserver {
  /** A member's answer was passed on. */
  abstract answered(entry: string, milliseconds: number): void;

  /** A request failed, or a session was refused. */
  abstract failed(kind: CallerFailure['kind']): void;
}
