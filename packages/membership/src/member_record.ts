import {z} from 'zod';
import {VirtualMachine} from '@apricotlock/topology';

/**
 * Liveness of a process as seen by another one. `left` means that the process
 * shut down in an orderly way.
 */
export type LivenessStatus = 'alive' | 'suspect' | 'dead' | 'left';

/** What one process knows about another; ordered by {@link supersedes}. */
export interface MemberRecord {
  readonly machine: VirtualMachine;
  /**
   * The incarnation number of SWIM. Only the process itself increments it, to
   * refute a suspicion or to announce a new state. `machine.incarnation`
   * identifies the process start and takes precedence over it.
   */
  readonly refutation: number;
  readonly standing: LivenessStatus;
}

/** In order of precedence. A packed record contains the index of its status. */
const LIVENESS_STATUSES: readonly LivenessStatus[] = [
  'alive',
  'suspect',
  'dead',
  'left',
];
const MAXIMUM_NAME_CHARACTERS = 63;
const MAXIMUM_HOST_CHARACTERS = 45;
const MAXIMUM_PORT = 65_535;

const nameSchema = z.string().min(1).max(MAXIMUM_NAME_CHARACTERS);
const hostSchema = z.string().min(1).max(MAXIMUM_HOST_CHARACTERS);
const portSchema = z.int().min(0).max(MAXIMUM_PORT);
const counterSchema = z.int().min(0);

/** Validates a {@link PackedRecord}. */
export const packedRecordSchema = z.tuple([
  nameSchema,
  counterSchema,
  counterSchema,
  z
    .int()
    .min(0)
    .max(LIVENESS_STATUSES.length - 1),
  nameSchema,
  hostSchema,
  portSchema,
  hostSchema,
  portSchema,
  z.boolean(),
  z.boolean(),
]);

/** A record as it is sent: fields are identified by position, to save bytes. */
export type PackedRecord = z.infer<typeof packedRecordSchema>;

/** Packs a record for sending. */
export function packRecord(record: MemberRecord): PackedRecord {
  const {machine, refutation, standing} = record;
  return [
    machine.name,
    machine.incarnation,
    refutation,
    LIVENESS_STATUSES.indexOf(standing),
    machine.dataCentre,
    machine.peerAddress.host,
    machine.peerAddress.port,
    machine.operatorAddress.host,
    machine.operatorAddress.port,
    machine.controlVoter,
    machine.state === 'draining',
  ];
}

/** Restores a record that was packed by {@link packRecord}. */
export function unpackRecord(packed: PackedRecord): MemberRecord {
  const [name, incarnation, refutation, standing, dataCentre] = packed;
  return {
    machine: {
      name,
      incarnation,
      dataCentre,
      peerAddress: {host: packed[5], port: packed[6]},
      operatorAddress: {host: packed[7], port: packed[8]},
      controlVoter: packed[9],
      state: packed[10] ? 'draining' : 'serving',
    },
    refutation,
    standing: LIVENESS_STATUSES[standing] as LivenessStatus,
  };
}

/**
 * Returns whether `record` is newer than `known`. Records of one process are
 * totally ordered by process start, then refutation, then liveness status. All
 * processes therefore converge on the same record, in whatever order the
 * records arrive.
 */
export function supersedes(record: MemberRecord, known: MemberRecord): boolean {
  const incarnationDifference =
    record.machine.incarnation - known.machine.incarnation;
  if (incarnationDifference !== 0) return incarnationDifference > 0;
  const refutationDifference = record.refutation - known.refutation;
  if (refutationDifference !== 0) return refutationDifference > 0;
  return (
    LIVENESS_STATUSES.indexOf(record.standing) >
    LIVENESS_STATUSES.indexOf(known.standing)
  );
}

/** Returns whether the process counts as running, which suspects do. */
export function isLive(record: MemberRecord): boolean {
  return record.standing === 'alive' || record.standing === 'suspect';
}
