import {Either} from 'purify-ts';
import {z} from 'zod';
import {
  AuditRange,
  AuditTrail,
  CommandAnswer,
  ControlClient,
  ControlCommand,
  ControlError,
  ControlLog,
  ControlReport,
} from '@apricotlock/control';
import {withTimeout} from '@apricotlock/flow';
import {Announcement} from '@apricotlock/member';
import {Membership} from '@apricotlock/membership';
import {
  OperatorBackend,
  ServerReport,
  StatusReport,
} from '@apricotlock/operator';
import {checkWith, PeerCall, PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {
  Catalogue,
  DatabaseGroup,
  findGroup,
  findMember,
  formatAddress,
  Member,
  ownerOf,
  VirtualMachine,
} from '@apricotlock/topology';
import {Metrics} from './metrics.js';
import {Settings} from './settings.js';

/** How long a change waits for every live VM to confirm it. */
const VIEW_CONFIRMATION_DEADLINE_MILLISECONDS = 3_000;
/** How long one VM waits for a view before it returns its current index. */
const VIEW_WAIT_PER_CALL_MILLISECONDS = 250;
/** The interval at which VMs that have not confirmed a change are asked again. */
const VIEW_CONFIRMATION_INTERVAL_MILLISECONDS = 50;
const CALL_TIMEOUT_MILLISECONDS = 500;

const VIEW_INDEX = PeerCall.define<
  {readonly wanted: number},
  {readonly index: number}
>(
  'entry.viewIndex',
  checkWith(z.strictObject({wanted: z.int().min(0)})),
  checkWith(z.strictObject({index: z.int().min(0)})),
);

const DRAIN = PeerCall.define<
  {readonly name: string},
  {readonly draining: boolean}
>(
  'entry.drain',
  checkWith(z.strictObject({name: z.string()})),
  checkWith(z.strictObject({draining: z.boolean()})),
);

/** Dependencies of {@link EntryOperatorBackend}. */
export interface EntryOperatorBackendOptions {
  readonly settings: Settings;
  readonly control: ControlClient;
  readonly log: ControlLog | undefined;
  readonly membership: Membership;
  readonly network: PeerNetwork;
  readonly metrics: Metrics;
  readonly timer: TimerService;
  readonly requestShutdown: () => void;
}

/** Implements the operators' API on the components of this process. */
export class EntryOperatorBackend extends OperatorBackend {
  private draining = false;

  private constructor(private readonly options: EntryOperatorBackendOptions) {
    super();
  }

  /**
   * Creates the backend, and registers handlers for the calls with which other
   * processes ask for the view index of this one or tell it to drain.
   */
  static create(options: EntryOperatorBackendOptions): EntryOperatorBackend {
    const backend = new EntryOperatorBackend(options);
    const {network, control} = options;
    network.handle(VIEW_INDEX, async ({wanted}) => {
      await backend.waitForView(wanted, VIEW_WAIT_PER_CALL_MILLISECONDS);
      return Either.of({index: control.view.current.index});
    });
    network.handle(DRAIN, async () => {
      backend.drainSelf();
      return Either.of({draining: true});
    });
    return backend;
  }

  override status(): StatusReport {
    const {settings, control, membership, log} = this.options;
    const view = control.view.current;
    return {
      machine: settings.name,
      dataCentre: settings.dataCentre,
      leader: log?.leader.current ?? null,
      viewIndex: view.index,
      viewAgeMilliseconds: finiteOrNull(control.viewAgeMilliseconds),
      catalogueVersion: view.catalogue.version,
      machines: membership.machines.current.map(machine => ({
        name: machine.name,
        dataCentre: machine.dataCentre,
        peerAddress: formatAddress(machine.peerAddress),
        controlVoter: machine.controlVoter,
        state: machine.state,
      })),
      databases: view.groups.map(group => ({
        database: group.database,
        term: group.term,
        primary: group.primary ?? null,
        members: group.members.filter(({state}) => state !== 'removed').length,
        size: group.size,
      })),
    };
  }

  override servers(): readonly ServerReport[] {
    const {groups} = this.options.control.view.current;
    return groups.flatMap(group =>
      group.members.map(member => this.serverReport(group, member)),
    );
  }

  override catalogue(): Catalogue {
    return this.options.control.view.current.catalogue;
  }

  override isReady(): boolean {
    return !this.draining && this.options.control.view.current.index > 0;
  }

  override async metrics(): Promise<string> {
    return this.options.metrics.render();
  }

  override audit(range: AuditRange): Promise<Either<ControlError, AuditTrail>> {
    return this.options.control.audit(range);
  }

  override controlReport(): Promise<Either<ControlError, ControlReport>> {
    return this.options.control.report();
  }

  override propose(
    command: ControlCommand,
  ): Promise<Either<ControlError, CommandAnswer>> {
    return this.options.control.propose(command);
  }

  override async recordAnnouncement(announcement: Announcement): Promise<void> {
    const view = this.options.control.view.current;
    const group = findGroup(view, announcement.database);
    const known = group && findMember(group, announcement.name);
    // Backend servers repeat their announcements. Only those with a new member
    // or a newer incarnation are proposed to the log.
    if (group === undefined) return;
    if (known !== undefined && known.incarnation >= announcement.incarnation) {
      return;
    }
    const at = this.wallClock();
    await this.propose({kind: 'registerMember', announcement, at});
  }

  override async drainMachine(name: string): Promise<boolean> {
    const {settings, membership, network} = this.options;
    if (name === settings.name) {
      this.drainSelf();
      return true;
    }
    const machine = membership.machines.current.find(
      other => other.name === name,
    );
    if (machine === undefined) return false;
    const answer = await network.call(
      machine.peerAddress,
      DRAIN,
      {name},
      CALL_TIMEOUT_MILLISECONDS,
    );
    return answer.isRight();
  }

  override async findMachinesMissingView(
    index: number,
  ): Promise<readonly string[]> {
    const {timer, membership} = this.options;
    const deadline = timer.now() + VIEW_CONFIRMATION_DEADLINE_MILLISECONDS;
    let pending = membership.machines.current;
    for (;;) {
      const applied = await Promise.all(
        pending.map(machine => this.hasAppliedView(machine, index)),
      );
      pending = pending.filter((_machine, position) => !applied[position]);
      if (pending.length === 0 || timer.now() >= deadline) break;
      await timer.sleep(VIEW_CONFIRMATION_INTERVAL_MILLISECONDS);
    }
    return pending.map(machine => machine.name);
  }

  override wallClock(): number {
    return this.options.timer.wallClock();
  }

  private async hasAppliedView(
    target: VirtualMachine,
    index: number,
  ): Promise<boolean> {
    const {settings, membership, network, control} = this.options;
    if (target.name === settings.name) {
      await this.waitForView(index, VIEW_WAIT_PER_CALL_MILLISECONDS);
      return control.view.current.index >= index;
    }
    const machine = membership.machines.current.find(
      other => other.name === target.name,
    );
    // A VM that has been lost since may still serve callers with an older view,
    // unless it was draining.
    if (machine === undefined) return target.state === 'draining';
    const answer = await network.call(
      machine.peerAddress,
      VIEW_INDEX,
      {wanted: index},
      CALL_TIMEOUT_MILLISECONDS,
    );
    return answer.map(result => result.index >= index).orDefault(false);
  }

  private async waitForView(index: number, milliseconds: number) {
    const {control, timer} = this.options;
    await withTimeout(
      timer,
      milliseconds,
      control.view.waitUntil(view => view.index >= index),
    );
  }

  /** Fails readiness checks from now on, so that balancers avoid this VM. */
  markNotReady(): void {
    this.draining = true;
  }

  private drainSelf(): void {
    this.markNotReady();
    this.options.requestShutdown();
  }

  private serverReport(group: DatabaseGroup, member: Member): ServerReport {
    const machines = this.options.membership.machines.current;
    return {
      name: member.name,
      database: member.database,
      dataCentre: member.dataCentre,
      address: formatAddress(member.address),
      state: member.state,
      role: member.name === group.primary ? 'primary' : 'replica',
      owner: ownerOf(member.name, member.dataCentre, machines)?.name ?? '',
    };
  }
}

/** Rounds an age. An infinite age is `null`, because JSON has no infinity. */
function finiteOrNull(value: number): number | null {
  return Number.isFinite(value) ? Math.round(value) : null;
}
