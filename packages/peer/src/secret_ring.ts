import {Observable} from '@apricotlock/flow';

/**
 * The secrets that prove a peer during a rotation: the current one is sent,
 * and every accepted one is taken, the current one among them.
 */
export interface SecretRing {
  readonly current: string;
  readonly accepted: readonly string[];
}

/** A ring of one secret, and of older ones while it is being rotated. */
export function ringOf(current: string, ...older: string[]): SecretRing {
  return {current, accepted: [current, ...older]};
}

/** The newest ring; a secret that never changes makes one of its own. */
export function ringFrom(key: string | Observable<SecretRing>): SecretRing {
  return typeof key === 'string' ? ringOf(key) : key.current;
}
