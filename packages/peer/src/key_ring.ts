import {Observable} from '@apricotlock/flow';

/**
 * Shared secrets that support rotation. This process uses `current` itself and
 * accepts all of `accepted`, which include the current one.
 */
export interface KeyRing {
  readonly current: string;
  readonly accepted: readonly string[];
}

/**
 * Creates a key ring from the current secret and the older ones that are still
 * accepted during a rotation.
 */
export function createKeyRing(
  current: string,
  ...olderSecrets: string[]
): KeyRing {
  return {current, accepted: [current, ...olderSecrets]};
}

/** Returns the current key ring, or creates one from a fixed secret. */
export function getCurrentKeyRing(key: string | Observable<KeyRing>): KeyRing {
  return typeof key === 'string' ? createKeyRing(key) : key.current;
}
