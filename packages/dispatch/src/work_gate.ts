import {Observable} from '@apricotlock/flow';
import {createChannelPair, PeerChannel, PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {
  DatabaseGroup,
  findMember,
  ownerRanking,
  VirtualMachine,
} from '@apricotlock/topology';
import {
  WORK,
  WorkDown,
  WorkRequest,
  WorkService,
  WorkUp,
} from '@apricotlock/work';

/** VMs that are considered for the work on one member. */
const CANDIDATES = 3;
/** How long a VM that did not answer is passed over. */
const AVOID_MILLISECONDS = 1_000;

/** A conversation with the VM that works on a member. */
export type WorkChannel = PeerChannel<WorkUp, WorkDown>;

/** What finding the VM for a member needs. */
export interface WorkGateOptions {
  readonly self: string;
  /** The VMs that work on members. */
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly network: PeerNetwork;
  readonly work: WorkService;
  readonly timer: TimerService;
}

/** Work under way, and the VM that does it. */
export interface OpenWork {
  readonly channel: WorkChannel;
  readonly machine: string;
}

/**
 * The way to members. One VM works on each member, so that few connections are
 * enough: on a primary its holder, on a replica the first by rendezvous hash
 * that answers. No two VMs need to agree on who works on a replica.
 */
export class WorkGate {
  private readonly avoidUntil = new Map<string, number>();

  private constructor(private readonly options: WorkGateOptions) {}

  /** A gate of one VM. */
  static create(options: WorkGateOptions): WorkGate {
    return new WorkGate(options);
  }

  /** Begins work on a member; `undefined` if no VM can do it now. */
  open(group: DatabaseGroup, request: WorkRequest): OpenWork | undefined {
    const {self, network, work} = this.options;
    const machine = this.machineFor(group, request);
    if (machine === undefined) return undefined;
    if (machine.name !== self) {
      const channel = network.converse(machine.peerAddress, WORK, request);
      return {channel, machine: machine.name};
    }
    const pair = createChannelPair<WorkUp, WorkDown>();
    void work.serve(request, pair.called).finally(() => pair.called.end());
    return {channel: pair.caller, machine: self};
  }

  /** Notes that a VM did not answer. */
  failed(machine: string): void {
    const {self, timer} = this.options;
    if (machine === self) return;
    this.avoidUntil.set(machine, timer.now() + AVOID_MILLISECONDS);
  }

  private machineFor(
    group: DatabaseGroup,
    {member, primaryTerm}: WorkRequest,
  ): VirtualMachine | undefined {
    const {machines, self} = this.options;
    if (primaryTerm > 0) {
      return machines.current.find(({name}) => name === group.holder);
    }
    const dataCentre = findMember(group, member)?.dataCentre ?? '';
    const ranking = ownerRanking(
      member,
      dataCentre,
      machines.current,
      CANDIDATES,
    );
    const answering = ranking.find(({name}) => !this.isAvoided(name));
    return answering ?? machines.current.find(({name}) => name === self);
  }

  private isAvoided(machine: string): boolean {
    const until = this.avoidUntil.get(machine) ?? -Infinity;
    return this.options.timer.now() < until;
  }
}
