import {z} from 'zod';
import {VirtualMachine} from '@apricotlock/topology';

/** What a process believes of another. */
export type Standing = 'alive' | 'suspect' | 'dead' | 'left';

/** What one process has heard of another, in the order of SWIM's rules. */
export interface MemberRecord {
  readonly machine: VirtualMachine;
  /**
   * SWIM's incarnation number: only the process itself raises it, to refute a
   * suspicion or to announce a new state. `machine.incarnation` tells process
   * starts apart and goes before it.
   */
  readonly refutation: number;
  readonly standing: Standing;
}

const STANDINGS: readonly Standing[] = ['alive', 'suspect', 'dead', 'left'];
const MAXIMUM_NAME_CHARACTERS = 63;
const MAXIMUM_HOST_CHARACTERS = 45;
const MAXIMUM_PORT = 65_535;

const nameSchema = z.string().min(1).max(MAXIMUM_NAME_CHARACTERS);
const hostSchema = z.string().min(1).max(MAXIMUM_HOST_CHARACTERS);
const portSchema = z.int().min(0).max(MAXIMUM_PORT);
const counterSchema = z.int().min(0);

/** Checks a record in the form in which it is sent. */
export const packedRecordSchema = z.tuple([
  nameSchema,
  counterSchema,
  counterSchema,
  z
    .int()
    .min(0)
    .max(STANDINGS.length - 1),
  nameSchema,
  hostSchema,
  portSchema,
  hostSchema,
  portSchema,
  z.boolean(),
  z.boolean(),
]);

/** A record as it is sent: fields by position, to save bytes. */
export type PackedRecord = z.infer<typeof packedRecordSchema>;

/** The form in which a record is sent. */
export function packRecord(record: MemberRecord): PackedRecord {
  const {machine, refutation, standing} = record;
  return [
    machine.name,
    machine.incarnation,
    refutation,
    STANDINGS.indexOf(standing),
    machine.dataCentre,
    machine.peerAddress.host,
    machine.peerAddress.port,
    machine.operatorAddress.host,
    machine.operatorAddress.port,
    machine.controlVoter,
    machine.state === 'draining',
  ];
}

/** The record that {@link packRecord} packed. */
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
    standing: STANDINGS[standing] as Standing,
  };
}

/**
 * Whether `record` is newer than `known`. The order is total for one name:
 * process start, then refutation, then standing; so every process ends with
 * the same record whatever the order in which records reach it.
 */
export function supersedes(record: MemberRecord, known: MemberRecord): boolean {
  const starts = record.machine.incarnation - known.machine.incarnation;
  if (starts !== 0) return starts > 0;
  const refutations = record.refutation - known.refutation;
  if (refutations !== 0) return refutations > 0;
  return STANDINGS.indexOf(record.standing) > STANDINGS.indexOf(known.standing);
}

/** Whether the process counts as running: a suspect does until it is dead. */
export function isLive(record: MemberRecord): boolean {
  return record.standing === 'alive' || record.standing === 'suspect';
}
