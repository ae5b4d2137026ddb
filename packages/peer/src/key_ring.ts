import {Observable} from '@apricotlock/flow';

/**
 * Shared secrets that support rotation. This process uses `current` itself and
 * accepts all of `accepted`, which include the current one.
 */
export interface SecretRing {
  readonly current: string;
  readonly accepted: readonly string[];
}

/**
 * Creates a key ring from the current secret and the older ones that are still
 * accepted during a rotation.
 */
export function ringOf(current: string, ...olderSecrets: string[]): SecretRing {
  return {current, accepted: [current, ...olderSecrets]};
}

/** Returns the current key ring, or creates one from a fixed secret. */
export function getCurrentKeyRing(
  key: string | Observable<SecretRing>,
): SecretRing {
  return typeof key === 'string' ? ringOf(key) : key.current;
}
