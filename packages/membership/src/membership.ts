import {Observable} from '@apricotlock/flow';
import {VirtualMachine, VirtualMachineState} from '@apricotlock/topology';

/** Which processes of the system are alive, as far as this one knows. */
export abstract class Membership {
  /** The live processes, this one among them. */
  abstract readonly machines: Observable<readonly VirtualMachine[]>;

  /** Tells the others what this process is doing from now on. */
  abstract announce(state: VirtualMachineState): void;

  /** Tells the others that this process goes, and takes part no more. */
  abstract leave(): Promise<void>;
}
