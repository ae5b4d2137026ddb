import {Address} from './address.js';

/** What an entry VM's process is doing. */
export type VirtualMachineState = 'serving' | 'draining';

/** One process of the system, on an entry VM or a control VM. */
export interface VirtualMachine {
  readonly name: string;
  /** New at each start, so that a restarted process is told from its past. */
  readonly incarnation: number;
  readonly dataCentre: string;
  readonly peerAddress: Address;
  readonly operatorAddress: Address;
  /** Whether it votes on the replicated log. */
  readonly controlVoter: boolean;
  readonly state: VirtualMachineState;
}
