import {z} from 'zod';
import {PeerCall} from '@apricotlock/peer';
import {checkFromSchema} from './consensus_messages.js';
import {
  ControlConfiguration,
  quorumOf,
  votersOf,
} from './control_configuration.js';

const memberReport = z.object({
  name: z.string(),
  diskId: z.string(),
  dataCentre: z.string(),
  role: z.enum(['voter', 'learner']),
  /** Milliseconds since the leader last had an answer from it. */
  silentMilliseconds: z.number(),
  /** Number of log entries that it has not synced yet. */
  entriesBehind: z.int(),
  /** Whether the VM came back with another disk. */
  diskReplaced: z.boolean(),
});

const controlReport = z.object({
  /** Whether the VM that made the report was the leader. */
  leading: z.boolean(),
  leader: z.string().nullable(),
  term: z.int(),
  /** Index of the last entry that was applied there. */
  index: z.int(),
  /** Number of voters needed to commit an entry. */
  quorum: z.int(),
  /** Number of voters that can still fail without preventing commits. */
  margin: z.int(),
  members: z.array(memberReport),
});

/** The status of one member of the log, as seen by the leader. */
export type ControlMemberReport = Readonly<z.infer<typeof memberReport>>;

/** The status of the replicated log. */
export type ControlReport = Readonly<z.infer<typeof controlReport>>;

/**
 * Requests the status of the log from a control VM; only the leader's is
 * complete.
 */
export const FETCH_REPORT = PeerCall.define(
  'control.fetchReport',
  checkFromSchema(z.object({from: z.string()})),
  checkFromSchema(controlReport),
);

/**
 * Returns how many more voters can fail while the live ones remain a quorum;
 * negative if they are none already.
 */
export function failureMargin(
  configuration: ControlConfiguration,
  liveDiskIds: ReadonlySet<string>,
): number {
  const live = votersOf(configuration).filter(({diskId}) =>
    liveDiskIds.has(diskId),
  );
  return live.length - quorumOf(configuration);
}
