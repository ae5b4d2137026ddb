import {z} from 'zod';
import {Check, PeerCall} from '@apricotlock/peer';
import {
  commandSchema,
  logEntrySchema,
  proposeOutcomeSchema,
  snapshotSchema,
} from './control_schemas.js';

const MAXIMUM_ENTRIES = 10_000;
const MAXIMUM_ID_CHARACTERS = 100;

const count = z.int().min(0);
const diskId = z.string().min(1).max(MAXIMUM_ID_CHARACTERS);

/** The disks between which a message passes, and its term. */
const envelope = {
  cluster: diskId,
  from: diskId,
  /**
   * Disk of the receiver; a process that no longer has this disk must refuse
   * the message.
   */
  to: diskId,
  term: count,
};

const voteRequest = z.object({
  ...envelope,
  lastIndex: count,
  lastTerm: count,
  /** Asks only whether the vote would be granted; nothing is recorded. */
  trial: z.boolean(),
  /** Whether the old leader itself requested the election. */
  handOver: z.boolean(),
});

const voteAnswer = z.object({term: count, granted: z.boolean()});

const appendRequest = z.object({
  ...envelope,
  leader: z.string().max(MAXIMUM_ID_CHARACTERS),
  previousIndex: count,
  previousTerm: count,
  entries: z.array(logEntrySchema).max(MAXIMUM_ENTRIES),
  commitIndex: count,
  /**
   * The newest answer of the receiver after whose receipt a quorum has
   * confirmed the leader. Processes of earlier versions send none.
   */
  confirmedAnswer: count.optional(),
});

const appendAnswer = z.object({
  term: count,
  success: z.boolean(),
  /**
   * On success, the newest index known to match and be synced; otherwise a hint
   * where the logs may match.
   */
  index: count,
  /** Identifies the answer for `confirmedAnswer`. */
  answer: count.optional(),
});

const snapshotRequest = z.object({
  ...envelope,
  leader: z.string().max(100),
  snapshot: snapshotSchema,
});

const diskReport = z.object({
  diskId,
  /** The cluster to which the disk belongs; `null` if it belongs to none. */
  cluster: diskId.nullable(),
  dataCentre: z.string().max(100),
});

/** Requests a vote. */
export type VoteRequest = Readonly<z.infer<typeof voteRequest>>;
/** Grants or refuses a vote, with the voter's term. */
export type VoteAnswer = Readonly<z.infer<typeof voteAnswer>>;
/** Carries log entries, or none as a heartbeat. */
export type AppendRequest = Readonly<z.infer<typeof appendRequest>>;
/** Answers {@link APPEND} and {@link INSTALL_SNAPSHOT}. */
export type AppendAnswer = Readonly<z.infer<typeof appendAnswer>>;
/** Carries a snapshot to a VM whose log is too far behind for entries. */
export type SnapshotRequest = Readonly<z.infer<typeof snapshotRequest>>;
/** Identifies the disk of a VM. */
export type DiskReport = Readonly<z.infer<typeof diskReport>>;

const checkAppendRequest = checkFromSchema(appendRequest);
const checkAppendAnswer = checkFromSchema(appendAnswer);

/**
 * Returns whether a value is a valid heartbeat. Heartbeats are most of the
 * messages between control VMs, and this costs a small part of the schema.
 */
function isHeartbeat(candidate: unknown): candidate is AppendRequest {
  const {cluster, from, to, term, leader, entries, ...indexes} = (candidate ??
    {}) as Readonly<Record<string, unknown>>;
  const {previousIndex, previousTerm, commitIndex, confirmedAnswer} = indexes;
  return (
    Array.isArray(entries) &&
    entries.length === 0 &&
    [cluster, from, to].every(isDiskId) &&
    [term, previousIndex, previousTerm, commitIndex].every(isCount) &&
    (confirmedAnswer === undefined || isCount(confirmedAnswer)) &&
    typeof leader === 'string' &&
    leader.length <= MAXIMUM_ID_CHARACTERS
  );
}

/** Returns whether a value is a valid answer, at a small part of the cost. */
function isAppendAnswer(candidate: unknown): candidate is AppendAnswer {
  const {term, success, index, answer} = (candidate ?? {}) as Readonly<
    Record<string, unknown>
  >;
  return (
    isCount(term) &&
    typeof success === 'boolean' &&
    isCount(index) &&
    (answer === undefined || isCount(answer))
  );
}

function isDiskId(value: unknown): boolean {
  return (
    typeof value === 'string' &&
    value.length >= 1 &&
    value.length <= MAXIMUM_ID_CHARACTERS
  );
}

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Requests a vote from a voter. */
export const VOTE = PeerCall.define<VoteRequest, VoteAnswer>(
  'control.vote',
  checkFromSchema(voteRequest),
  checkFromSchema(voteAnswer),
);

/** Appends entries to a follower's log; without entries it is a heartbeat. */
export const APPEND = PeerCall.define<AppendRequest, AppendAnswer>(
  'control.append',
  candidate =>
    isHeartbeat(candidate) ? candidate : checkAppendRequest(candidate),
  candidate =>
    isAppendAnswer(candidate) ? candidate : checkAppendAnswer(candidate),
);

/** Replaces the start of a follower's log by a snapshot. */
export const INSTALL_SNAPSHOT = PeerCall.define<SnapshotRequest, AppendAnswer>(
  'control.installSnapshot',
  checkFromSchema(snapshotRequest),
  checkFromSchema(appendAnswer),
);

/** Asks a VM to identify its disk. */
export const IDENTIFY = PeerCall.define<
  {
    /**
     * The names of the initial voters, to be compared with the receiver's;
     * empty if they need not match.
     */
    readonly voters: string;
  },
  DiskReport
>(
  'control.identify',
  checkFromSchema(z.object({voters: z.string().max(1_000)})),
  checkFromSchema(diskReport),
);

/**
 * Makes a voter start an election at once because its leader is shutting down.
 */
export const TAKE_OVER = PeerCall.define<
  {readonly to: string; readonly term: number},
  {readonly standing: boolean}
>(
  'control.takeOver',
  checkFromSchema(z.object({to: diskId, term: count})),
  checkFromSchema(z.object({standing: z.boolean()})),
);

/**
 * Forwards a command from a control VM to the leader, which does not forward it
 * again.
 */
export const FORWARD = PeerCall.define(
  'control.forward',
  checkFromSchema(commandSchema),
  checkFromSchema(proposeOutcomeSchema),
);

/** Returns a check that accepts what matches a schema. */
export function checkFromSchema<T>(schema: z.ZodType<T>): Check<T> {
  return candidate => {
    const result = schema.safeParse(candidate);
    return result.success ? result.data : undefined;
  };
}
