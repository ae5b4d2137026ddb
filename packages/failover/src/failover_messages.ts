import {z} from 'zod';
import {checkWith, PeerCall} from '@apricotlock/peer';

const suspicionSchema = z.strictObject({
  database: z.string(),
  term: z.int().min(0),
  reporter: z.string(),
  refused: z.boolean(),
});

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
  checkWith(suspicionSchema),
  checkWith(z.strictObject({heard: z.boolean()})),
);
