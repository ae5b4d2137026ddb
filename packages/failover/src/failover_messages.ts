import {PeerCall} from '@apricotlock/peer';

/** What a watcher of a group says when it cannot reach the primary. */
export interface Suspicion {
  readonly database: string;
  readonly term: number;
  readonly reporter: string;
  /** Whether the primary's host refused, rather than kept silent. */
  readonly refused: boolean;
}

/** Tells the leader of the control quorum of a suspicion. */
export const SUSPECT = PeerCall.define<Suspicion, {readonly heard: boolean}>(
  'failover.suspect',
  candidate => shaped<Suspicion>(candidate, 'database', 'term', 'reporter'),
  candidate => shaped<{heard: boolean}>(candidate, 'heard'),
);

function shaped<T extends object>(
  candidate: unknown,
  ...names: readonly string[]
): T | undefined {
  if (typeof candidate !== 'object' || candidate === null) return undefined;
  return names.every(name => name in candidate) ? (candidate as T) : undefined;
}
