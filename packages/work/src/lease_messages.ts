import {z} from 'zod';
import {checkWith, PeerCall} from '@apricotlock/peer';

const MAXIMUM_NAME_CHARACTERS = 300;
const MAXIMUM_GROUPS = 10_000;

const name = z.string().max(MAXIMUM_NAME_CHARACTERS);
const term = z.int().min(0);
const groupTerm = z.object({database: name, term});

/** A database group and one of its terms. */
export type GroupTerm = Readonly<z.infer<typeof groupTerm>>;

/**
 * Requests that the control leader grant or extend the primary leases of an
 * entry VM. The answer lists the groups whose lease was granted.
 */
export const RENEW_LEASES = PeerCall.define(
  'work.renewLeases',
  checkWith(
    z.object({holder: name, groups: z.array(groupTerm).max(MAXIMUM_GROUPS)}),
  ),
  checkWith(
    z.object({
      granted: z.array(groupTerm).max(MAXIMUM_GROUPS),
      /** The duration of each lease, counted from the time of the request. */
      leaseMilliseconds: z.number().min(0),
    }),
  ),
);

/**
 * Revokes the primary leases of an entry VM for all terms before `term`. The
 * answer is sent once the VM no longer uses the primary of an earlier term.
 */
export const REVOKE_LEASE = PeerCall.define(
  'work.stopUsing',
  checkWith(
    z.object({
      database: name,
      /** Leases of all terms before this one are revoked. */
      term,
      /** The time that open transactions have to finish, in milliseconds. */
      graceMilliseconds: z.number().min(0),
    }),
  ),
  checkWith(z.object({stopped: z.literal(true)})),
);

/**
 * Asks a lease holder how many transactions are open that need the lease of a
 * term. Holders of earlier versions refuse it.
 */
export const COUNT_TRANSACTIONS = PeerCall.define(
  'work.countTransactions',
  checkWith(groupTerm),
  checkWith(z.object({open: z.int().min(0)})),
);

/** The symptoms of a primary failure that an entry VM can observe. */
export const symptomSchema = z.enum([
  /** Nothing listens at the address of the primary. */
  'refused',
  /** The primary does not answer. */
  'silent',
  /** A different member answers at the address of the primary. */
  'otherMember',
  /** The member reports that it is not the primary. */
  'notPrimary',
  /** The primary is reachable, but no replica confirms its commits. */
  'commitsStall',
]);

/** A symptom of a primary failure. */
export type Symptom = z.infer<typeof symptomSchema>;

/** Reports a symptom of a primary failure to the control leader. */
export const REPORT_PRIMARY_FAILURE = PeerCall.define(
  'work.reportPrimary',
  checkWith(
    z.object({database: name, term, reporter: name, symptom: symptomSchema}),
  ),
  checkWith(z.object({heard: z.literal(true)})),
);
