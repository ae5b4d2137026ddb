import {z} from 'zod';
import {checkWith, PeerCall} from '@apricotlock/peer';

const MAXIMUM_NAME_CHARACTERS = 300;
const MAXIMUM_GROUPS = 10_000;

const name = z.string().max(MAXIMUM_NAME_CHARACTERS);
const term = z.int().min(0);
const groupTerm = z.object({database: name, term});

/** A group in one of its terms. */
export type GroupTerm = Readonly<z.infer<typeof groupTerm>>;

/** Asks the control leader to prolong the leases of an entry VM. */
export const RENEW_LEASES = PeerCall.define(
  'work.renewLeases',
  checkWith(
    z.object({holder: name, groups: z.array(groupTerm).max(MAXIMUM_GROUPS)}),
  ),
  checkWith(
    z.object({
      granted: z.array(groupTerm).max(MAXIMUM_GROUPS),
      /** Counted from when the request was sent. */
      leaseMilliseconds: z.number().min(0),
    }),
  ),
);

/** Tells an entry VM to use the primary of terms before this one no more. */
export const STOP_USING = PeerCall.define(
  'work.stopUsing',
  checkWith(
    z.object({
      database: name,
      /** Every earlier term is over. */
      term,
      /** How long open transactions may go on, in milliseconds. */
      graceMilliseconds: z.number().min(0),
    }),
  ),
  checkWith(z.object({stopped: z.literal(true)})),
);

/** What is wrong with a primary, as an entry VM sees it. */
export const symptomSchema = z.enum([
  /** Nothing listens at its address. */
  'refused',
  /** It does not answer. */
  'silent',
  /** Another member answers at its address. */
  'otherMember',
  /** It says that it is not the primary. */
  'notPrimary',
  /** It reads, but commits are not confirmed by any replica. */
  'commitsStall',
]);

/** One of the things that can be wrong with a primary. */
export type Symptom = z.infer<typeof symptomSchema>;

/** Reports to the control leader that a primary can't be used. */
export const REPORT_PRIMARY = PeerCall.define(
  'work.reportPrimary',
  checkWith(
    z.object({database: name, term, reporter: name, symptom: symptomSchema}),
  ),
  checkWith(z.object({heard: z.literal(true)})),
);
