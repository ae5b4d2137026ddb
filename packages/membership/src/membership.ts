import {Observable} from '@apricotlock/flow';
import {VirtualMachine, VirtualMachineState} from '@apricotlock/topology';

/** Tracks which processes of the system are alive, as seen by this process. */
export abstract class Membership {
  /** The live processes, including this one. */
  abstract readonly machines: Observable<readonly VirtualMachine[]>;

  /** Announces the new state of this process to the others. */
  abstract announce(state: VirtualMachineState): void;

  /** Announces that this process is shutting down, and stops participating. */
  abstract leave(): Promise<void>;
}
