import {Either} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {PeerCall, PeerError, PeerNetwork} from '@apricotlock/peer';
import {Address, VirtualMachine} from '@apricotlock/topology';
import {ControlMember} from './control_configuration.js';

/** Calls between control VMs. */
export class ControlPeers {
  private constructor(
    private readonly network: PeerNetwork,
    private readonly machines: Observable<readonly VirtualMachine[]>,
    private readonly timeoutMilliseconds: number,
  ) {}

  /** Calls through `network`, each with the same time limit. */
  static of(
    network: PeerNetwork,
    machines: Observable<readonly VirtualMachine[]>,
    timeoutMilliseconds: number,
  ): ControlPeers {
    return new ControlPeers(network, machines, timeoutMilliseconds);
  }

  /** Calls the VM that has a participant's disk. */
  call<Request, Answer>(
    to: ControlMember,
    call: PeerCall<Request, Answer>,
    request: Request,
  ): Promise<Either<PeerError, Answer>> {
    return this.callAt(this.addressOf(to), call, request);
  }

  /** Calls a VM by its address. */
  callAt<Request, Answer>(
    to: Address,
    call: PeerCall<Request, Answer>,
    request: Request,
  ): Promise<Either<PeerError, Answer>> {
    return this.network.call(to, call, request, this.timeoutMilliseconds);
  }

  /** A VM may have moved since the configuration was written. */
  private addressOf({name, address}: ControlMember): Address {
    const machine = this.machines.current.find(other => other.name === name);
    return machine?.peerAddress ?? address;
  }
}
