import {Either} from 'purify-ts';
import {FaultTolerance} from '@apricotlock/control';
import {Address} from '@apricotlock/topology';

/** The settings of a process and of the VM that it runs on. */
export interface ProgramSettings {
  /** The name of the VM for people and external systems. */
  readonly node: string;
  readonly dataCentre: string;
  /** The address at which other processes of the system reach this one. */
  readonly peerAddress: Address;
  readonly metricsAddress: Address;
  /** The address to which callers connect; only on entry VMs. */
  readonly callerAddress: Address | undefined;
  /** The address for the balancer's readiness probes; only on entry VMs. */
  readonly readyAddress: Address | undefined;
  /** The address of the member and operator API; only on control VMs. */
  readonly controlAddress: Address | undefined;
  /** The peer addresses of processes through which to join the membership. */
  readonly seeds: readonly Address[];
  /** Whether the whole system is being started for the first time. */
  readonly firstStart: boolean;
  /** The losses of control VMs that the system must survive. */
  readonly faultTolerance: FaultTolerance;
  /** The folder for data that must survive restarts; on VMs with a disk. */
  readonly dataFolder: string | undefined;
  /** The address of the service that promotes members. */
  readonly promotionAddress: Address | undefined;
  /**
   * The time after the acknowledgement of a member's announcement that it is
   * draining by which no new work may reach it; `undefined` if none is set.
   */
  readonly drainMilliseconds: number | undefined;
  /** The time within which a process must end after SIGTERM. */
  readonly graceMilliseconds: number;
}

/** Why settings were not loaded; `faults` has one text per validation error. */
export type SettingsError =
  | {readonly kind: 'unreadable'; readonly reason: string}
  | {readonly kind: 'invalid'; readonly faults: readonly string[]};

/** A source from which a process loads its settings. */
export abstract class SettingsSource {
  /** Describes the location of the settings in messages. */
  abstract readonly description: string;

  /** Reads and validates the current settings. */
  abstract load(): Either<SettingsError, ProgramSettings>;

  /**
   * Returns when the settings were last modified, in milliseconds since the Unix
   * epoch, or 0 if there are no settings.
   */
  abstract modifiedAt(): number;
}

/** Returns one text for each error in the settings. */
export function listErrors(error: SettingsError): readonly string[] {
  return error.kind === 'invalid' ? error.faults : [error.reason];
}
