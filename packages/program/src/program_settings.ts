import {Either} from 'purify-ts';
import {Address} from '@apricotlock/topology';

/** What a process is told of the VM it runs on. */
export interface ProgramSettings {
  /** The VM's name, as people and outside systems know it. */
  readonly node: string;
  readonly dataCentre: string;
  /** Where the other processes of the system reach this one. */
  readonly peerAddress: Address;
  readonly metricsAddress: Address;
  /** Where callers connect; on entry VMs. */
  readonly callerAddress: Address | undefined;
  /** Where the balancer asks whether to send callers; on entry VMs. */
  readonly readyAddress: Address | undefined;
  /** Where members and operators call; on control VMs. */
  readonly controlAddress: Address | undefined;
  /** Some processes of the system, by their peer addresses. */
  readonly seeds: readonly Address[];
  /** Whether the whole system starts for the first time. */
  readonly firstStart: boolean;
  /** The folder for what must survive; on VMs with a disk. */
  readonly dataFolder: string | undefined;
  /** Where promotions are ordered. */
  readonly promotionAddress: Address | undefined;
  /** How long a process has after SIGTERM, in milliseconds. */
  readonly graceMilliseconds: number;
}

/** Why the settings can't be used; every fault is named. */
export type SettingsError =
  | {readonly kind: 'unreadable'; readonly reason: string}
  | {readonly kind: 'invalid'; readonly faults: readonly string[]};

/** Where a process has its settings from. */
export abstract class SettingsSource {
  /** Where that is, for messages. */
  abstract readonly description: string;

  /** Reads the settings as they are now. */
  abstract load(): Either<SettingsError, ProgramSettings>;

  /** Milliseconds since the epoch of the last change; 0 if there are none. */
  abstract modifiedAt(): number;
}

/** All that is wrong, one text for each fault. */
export function faultsOf(error: SettingsError): readonly string[] {
  return error.kind === 'invalid' ? error.faults : [error.reason];
}
