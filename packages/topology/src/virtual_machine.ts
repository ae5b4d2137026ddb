import {Address} from './address.js';

/** Whether the process of an entry VM serves callers or is shutting down. */
export type VirtualMachineState = 'serving' | 'draining';

/** A process of the system, on an entry VM or a control VM. */
export interface VirtualMachine {
  readonly name: string;
  /**
   * A number that is new at each start, so that a restarted process is
   * distinguished from its earlier runs.
   */
  readonly incarnation: number;
  readonly dataCentre: string;
  readonly peerAddress: Address;
  readonly operatorAddress: Address;
  /** Whether the process votes on the replicated control log. */
  readonly controlVoter: boolean;
  readonly state: VirtualMachineState;
}
