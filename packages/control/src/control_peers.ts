import {Either} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {PeerCall, PeerError, PeerNetwork} from '@apricotlock/peer';
import {Address, VirtualMachine} from '@apricotlock/topology';
import {ControlMember} from './control_configuration.js';

/** Calls control VMs over the peer network. */
export class ControlPeers {
  private constructor(
    private readonly network: PeerNetwork,
    private readonly machines: Observable<readonly VirtualMachine[]>,
    private readonly timeoutMilliseconds: number,
  ) {}

  /** Creates an instance that uses the same timeout for each call. */
  static of(
    network: PeerNetwork,
    machines: Observable<readonly VirtualMachine[]>,
    timeoutMilliseconds: number,
  ): ControlPeers {
    return new ControlPeers(network, machines, timeoutMilliseconds);
  }

  /** Calls the VM that has the disk of a member of the log. */
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

  /**
   * Returns the VM's current address, as it may have moved since the
   * configuration was written.
   */
  private addressOf({name, address}: ControlMember): Address {
    const machine = this.machines.current.find(other => other.name === name);
    return machine?.peerAddress ?? address;
  }
}
