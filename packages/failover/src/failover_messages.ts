import {z} from 'zod';
import {checkWith, PeerCall} from '@apricotlock/peer';

const suspicionSchema = z.strictObject({
  database: z.string(),
  term: z.int().min(0),
  reporter: z.string(),
  refused: z.boolean(),
});

/** A report by an entry VM that a primary is unreachable or no longer leads. */
export interface PrimarySuspicion {
  readonly database: string;
  readonly term: number;
  readonly reporter: string;
  /**
   * Whether the member refused or reset the connection or is no longer primary,
   * as opposed to not responding.
   */
  readonly refused: boolean;
}

/** Reports a suspected primary to a control VM; only the leader acts on it. */
export const REPORT_SUSPECTED_PRIMARY = PeerCall.define<
  PrimarySuspicion,
  {readonly heard: boolean}
>(
  'failover.suspect',
  checkWith(suspicionSchema),
  checkWith(z.strictObject({heard: z.boolean()})),
);
