/**
 * The secrets that prove a peer during a rotation: the current one is sent,
 * and every accepted one is taken, the current one among them.
 */
export interface SecretRing {
  readonly current: string;
  readonly accepted: readonly string[];
}

/** A ring of one secret, when none is being rotated. */
export function ringOf(current: string, ...older: string[]): SecretRing {
  return {current, accepted: [current, ...older]};
}
