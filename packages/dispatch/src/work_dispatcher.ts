import {Observable} from '@apricotlock/flow';
import {createChannelPair, PeerChannel, PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {
  assignedOwner,
  ClusterView,
  DatabaseGroup,
  findMember,
  ownerRanking,
  VirtualMachine,
} from '@apricotlock/topology';
import {
  RUN_WORK,
  WorkServerMessage,
  WorkRequest,
  WorkService,
  WorkClientMessage,
} from '@apricotlock/work';
import {VirtualMachineHealth} from './virtual_machine_health.js';

/** How many VMs are considered for the reads on one member. */
const MAXIMUM_CANDIDATES = 3;
/** How long a VM that can't reach a member is avoided for that member. */
const UNREACHABLE_AVOIDANCE_MILLISECONDS = 1_000;

/** A bidirectional stream to the VM that works on a member. */
export type WorkClientChannel = PeerChannel<
  WorkClientMessage,
  WorkServerMessage
>;

/** Dependencies of the work dispatcher. */
export interface WorkDispatcherOptions {
  readonly self: string;
  readonly view: Observable<ClusterView>;
  /** The VMs that work on members. */
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly network: PeerNetwork;
  readonly work: WorkService;
  readonly health: VirtualMachineHealth;
  readonly timer: TimerService;
}

/** Work in progress, and the VM that does it. */
export interface DispatchedWork {
  readonly channel: WorkClientChannel;
  readonly machine: string;
}

/**
 * Dispatches work to the VM that works on a member. One VM works on each
 * member, so that few connections suffice: for a primary its lease holder, for
 * a replica its owner, or another VM while that does not respond. VMs needn't
 * agree on which of them works on a replica.
 */
export class WorkDispatcher {
  private readonly avoidUntil = new Map<string, number>();

  private constructor(private readonly options: WorkDispatcherOptions) {}

  /** Creates the dispatcher of one VM. */
  static create(options: WorkDispatcherOptions): WorkDispatcher {
    return new WorkDispatcher(options);
  }

  /** Begins work on a member. Returns `undefined` if no VM can do it now. */
  dispatch(
    group: DatabaseGroup,
    request: WorkRequest,
  ): DispatchedWork | undefined {
    const {self, network, work} = this.options;
    const machine = this.selectMachine(group, request);
    if (machine === undefined) return undefined;
    if (machine.name !== self) {
      const channel = network.converse(machine.peerAddress, RUN_WORK, request);
      return {channel, machine: machine.name};
    }
    const pair = createChannelPair<WorkClientMessage, WorkServerMessage>();
    void work.serve(request, pair.server).finally(() => pair.server.end());
    return {channel: pair.client, machine: self};
  }

  /** Pings a VM. Resolves to whether it answered in time. */
  checkLiveness(machine: string): Promise<boolean> {
    return this.options.health.checkLiveness(machine);
  }

  /** Reports that the link to a VM broke while it worked. */
  reportBrokenLink(machine: string): void {
    this.options.health.reportBrokenLink(machine);
  }

  /** Records that a VM can't reach a member, so that it is avoided for a time. */
  recordUnreachable(machine: string, member: string): void {
    const until = this.options.timer.now() + UNREACHABLE_AVOIDANCE_MILLISECONDS;
    this.avoidUntil.set(pathKey(machine, member), until);
  }

  private selectMachine(
    group: DatabaseGroup,
    {member, primaryTerm}: WorkRequest,
  ): VirtualMachine | undefined {
    const {machines, self} = this.options;
    const {health} = this.options;
    if (primaryTerm > 0) {
      const holder = machines.current.find(({name}) => name === group.holder);
      return holder && health.isResponsive(holder.name) ? holder : undefined;
    }
    const responsive = this.candidatesFor(group, member).filter(({name}) =>
      health.isResponsive(name),
    );
    // Where candidates respond but can't reach the member, it is most likely
    // down. If every VM tried for itself, all of them would connect to it at
    // once when it is back, which is more than it accepts.
    return responsive.length === 0
      ? machines.current.find(({name}) => name === self)
      : responsive.find(({name}) => !this.isAvoided(name, member));
  }

  /**
   * Returns the VMs that may run reads on a member, the preferred one first: on
   * a primary its lease holder, which has its connections; then its owner, others
   * in the member's data centre, and if they are too few, any.
   */
  private candidatesFor(
    group: DatabaseGroup,
    member: string,
  ): readonly VirtualMachine[] {
    const {view} = this.options;
    const machines = this.options.machines.current;
    const owner = assignedOwner(view.current.groups, machines, member);
    const dataCentre = findMember(group, member)?.dataCentre ?? '';
    const [near, all] = [dataCentre, ''].map(place =>
      ownerRanking(member, place, machines, MAXIMUM_CANDIDATES),
    );
    const holder =
      member === group.primary
        ? machines.filter(({name}) => name === group.holder)
        : [];
    const ranking = new Set([
      ...holder,
      ...(owner === undefined ? [] : [owner]),
      ...(near ?? []),
      ...(all ?? []),
    ]);
    return [...ranking].slice(0, MAXIMUM_CANDIDATES);
  }

  private isAvoided(machine: string, member: string): boolean {
    const until = this.avoidUntil.get(pathKey(machine, member)) ?? -Infinity;
    return this.options.timer.now() < until;
  }
}

function pathKey(machine: string, member: string): string {
  return `${machine} ${member}`;
}
