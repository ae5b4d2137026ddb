import {z} from 'zod';
import {PeerCall} from '@apricotlock/peer';
import {checkOf} from './consensus_messages.js';
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
  /** Since the leader last had an answer. */
  silentMilliseconds: z.number(),
  /** Entries of the log that it has not synced yet. */
  entriesBehind: z.int(),
  /** The VM came back with another disk. */
  diskReplaced: z.boolean(),
});

const controlReport = z.object({
  /** Whether the VM that made the report led then. */
  leading: z.boolean(),
  leader: z.string().nullable(),
  term: z.int(),
  /** The newest place of the log that was carried out there. */
  index: z.int(),
  /** Voters that are needed for a decision. */
  quorum: z.int(),
  /** Voters that can be lost now before decisions stop. */
  margin: z.int(),
  members: z.array(memberReport),
});

/** How one participant of the log is doing, as its leader sees it. */
export type ControlMemberReport = Readonly<z.infer<typeof memberReport>>;

/** How the replicated log is doing. */
export type ControlReport = Readonly<z.infer<typeof controlReport>>;

/** Asks a control VM how the log is doing; only the leader knows it all. */
export const FETCH_REPORT = PeerCall.define(
  'control.fetchReport',
  checkOf(z.object({from: z.string()})),
  checkOf(controlReport),
);

/** Voters that can be lost before the live ones are no quorum. */
export function marginOf(
  configuration: ControlConfiguration,
  liveDiskIds: ReadonlySet<string>,
): number {
  const live = votersOf(configuration).filter(({diskId}) =>
    liveDiskIds.has(diskId),
  );
  return live.length - quorumOf(configuration);
}
