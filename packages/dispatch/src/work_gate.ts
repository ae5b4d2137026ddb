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
import {PathHealth} from './path_health.js';

/** VMs that are considered for the work on one member. */
const CANDIDATES = 3;
/** How long a VM that can't reach a member is passed over for it. */
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
  readonly health: PathHealth;
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

  /** Asks a VM for a sign of life; `false` if none comes. */
  check(machine: string): Promise<boolean> {
    return this.options.health.check(machine);
  }

  /** The link to a VM broke while it worked. */
  broken(machine: string): void {
    this.options.health.broken(machine);
  }

  /** Notes that a VM can't reach a member. */
  cannotReach(machine: string, member: string): void {
    const until = this.options.timer.now() + AVOID_MILLISECONDS;
    this.avoidUntil.set(pathKey(machine, member), until);
  }

  private machineFor(
    group: DatabaseGroup,
    {member, primaryTerm}: WorkRequest,
  ): VirtualMachine | undefined {
    const {machines, self} = this.options;
    const {health} = this.options;
    if (primaryTerm > 0) {
      const holder = machines.current.find(({name}) => name === group.holder);
      return holder && health.isGood(holder.name) ? holder : undefined;
    }
    const dataCentre = findMember(group, member)?.dataCentre ?? '';
    const ranking = ownerRanking(
      member,
      dataCentre,
      machines.current,
      CANDIDATES,
    );
    const own = machines.current.filter(({name}) => name === self);
    return [...ranking, ...own].find(({name}) => this.mayReach(name, member));
  }

  private mayReach(machine: string, member: string): boolean {
    const {health, timer} = this.options;
    const until = this.avoidUntil.get(pathKey(machine, member)) ?? -Infinity;
    return health.isGood(machine) && timer.now() >= until;
  }
}

function pathKey(machine: string, member: string): string {
  return `${machine} ${member}`;
}
