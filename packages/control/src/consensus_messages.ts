import {z} from 'zod';
import {Check, PeerCall} from '@apricotlock/peer';
import {
  commandSchema,
  logEntrySchema,
  proposeOutcomeSchema,
  snapshotSchema,
} from './control_schemas.js';

const MAXIMUM_ENTRIES = 10_000;

const count = z.int().min(0);
const diskId = z.string().min(1).max(100);

/** Between which disks a message passes, and in which term. */
const envelope = {
  cluster: diskId,
  from: diskId,
  /** A process that no longer has this disk must not answer for it. */
  to: diskId,
  term: count,
};

const voteRequest = z.object({
  ...envelope,
  lastIndex: count,
  lastTerm: count,
  /** Asks only whether the vote would be given. */
  trial: z.boolean(),
  /** The old leader itself asked for the election. */
  handOver: z.boolean(),
});

const voteAnswer = z.object({term: count, granted: z.boolean()});

const appendRequest = z.object({
  ...envelope,
  leader: z.string().max(100),
  previousIndex: count,
  previousTerm: count,
  entries: z.array(logEntrySchema).max(MAXIMUM_ENTRIES),
  commitIndex: count,
});

const appendAnswer = z.object({
  term: count,
  success: z.boolean(),
  /** On success the newest place known to agree, synced; else a hint. */
  index: count,
});

const snapshotRequest = z.object({
  ...envelope,
  leader: z.string().max(100),
  snapshot: snapshotSchema,
});

const diskReport = z.object({
  diskId,
  /** The system to which the disk belongs, if it does already. */
  cluster: diskId.nullable(),
  dataCentre: z.string().max(100),
});

/** Asks for a vote. */
export type VoteRequest = Readonly<z.infer<typeof voteRequest>>;
export type VoteAnswer = Readonly<z.infer<typeof voteAnswer>>;
/** Carries entries, or none as a heartbeat. */
export type AppendRequest = Readonly<z.infer<typeof appendRequest>>;
export type AppendAnswer = Readonly<z.infer<typeof appendAnswer>>;
/** Carries a snapshot to who is too far behind for entries. */
export type SnapshotRequest = Readonly<z.infer<typeof snapshotRequest>>;
/** Which disk a VM has. */
export type DiskReport = Readonly<z.infer<typeof diskReport>>;

export const VOTE = PeerCall.define<VoteRequest, VoteAnswer>(
  'control.vote',
  checkOf(voteRequest),
  checkOf(voteAnswer),
);

export const APPEND = PeerCall.define<AppendRequest, AppendAnswer>(
  'control.append',
  checkOf(appendRequest),
  checkOf(appendAnswer),
);

export const INSTALL_SNAPSHOT = PeerCall.define<SnapshotRequest, AppendAnswer>(
  'control.installSnapshot',
  checkOf(snapshotRequest),
  checkOf(appendAnswer),
);

/** Asks which disk a VM has. */
export const IDENTIFY = PeerCall.define<
  {
    /** The names of the first voters; empty where they do not matter. */
    readonly voters: string;
  },
  DiskReport
>(
  'control.identify',
  checkOf(z.object({voters: z.string().max(1_000)})),
  checkOf(diskReport),
);

/** Makes a voter stand for election at once: its leader goes. */
export const TAKE_OVER = PeerCall.define<
  {readonly to: string; readonly term: number},
  {readonly standing: boolean}
>(
  'control.takeOver',
  checkOf(z.object({to: diskId, term: count})),
  checkOf(z.object({standing: z.boolean()})),
);

/** Carries a command from a control VM to the leader, and no further. */
export const FORWARD = PeerCall.define(
  'control.forward',
  checkOf(commandSchema),
  checkOf(proposeOutcomeSchema),
);

/** A check that a schema makes. */
export function checkOf<T>(schema: z.ZodType<T>): Check<T> {
  return candidate => {
    const result = schema.safeParse(candidate);
    return result.success ? result.data : undefined;
  };
}
