import {mkdirSync, mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {OperatorClient} from '@apricotlock/operator';
import {TimerService} from '@apricotlock/timer';
import {CatalogueEntry, formatAddress} from '@apricotlock/topology';
import {FaultFabric, relayAddress} from './fault_fabric.js';
import {Layout, MachineLayout, MemberLayout} from './layout.js';
import {ProcessGroup} from './process_group.js';

const POLL_MILLISECONDS = 25;
const BALANCER_MILLISECONDS = '500';
const START_TIMEOUT_MILLISECONDS = 20_000;
const REPLACE_VOTER_MILLISECONDS = '5000';
const KEY_BYTES = 'an example key of many characters';

const ENTRY_SCRIPT = fileURLToPath(
  import.meta.resolve('apricotlock').replace('index.js', 'main.js'),
);
const MEMBER_SCRIPT = fileURLToPath(
  import.meta.resolve('@apricotlock/standin').replace('index.js', 'main.js'),
);
const CONTROL_SCRIPT = fileURLToPath(
  import.meta.resolve('apricotctl').replace('index.js', 'main.js'),
);

/** A whole system as real processes on loopback. */
export class SystemUnderTest {
  readonly folder = mkdtempSync(join(tmpdir(), 'apricotlock-'));
  readonly tokenFile = join(this.folder, 'operator-token');
  readonly processes = ProcessGroup.create();
  private fabric: FaultFabric | undefined;

  private constructor(
    readonly layout: Layout,
    private readonly timer: TimerService,
    private readonly environment: Readonly<Record<string, string>>,
  ) {
    for (const name of ['operator-token', 'peer-key', 'member-key']) {
      writeFileSync(join(this.folder, name), `${KEY_BYTES} ${name}`);
    }
  }

  /** Starts every process of a layout, and waits until VMs and members know
   * of each other. VMs have `environment` besides their flags. */
  static async start(
    layout: Layout,
    timer: TimerService,
    environment: Readonly<Record<string, string>> = {},
  ): Promise<SystemUnderTest> {
    const system = new SystemUnderTest(layout, timer, environment);
    await system.startProcesses();
    return system;
  }

  /** As {@link SystemUnderTest.start}, with relays before every member. */
  static async startWithFaults(
    layout: Layout,
    timer: TimerService,
  ): Promise<SystemUnderTest> {
    const system = new SystemUnderTest(layout, timer, {});
    const {processes} = system;
    system.fabric = await FaultFabric.start(layout, processes, timer);
    await system.startProcesses();
    return system;
  }

  /** The relays before the members. Throws if there are none. */
  get faults(): FaultFabric {
    if (this.fabric === undefined) throw new Error('started without faults');
    return this.fabric;
  }

  private async startProcesses(): Promise<void> {
    const {layout} = this;
    for (const member of layout.members) this.startMember(member);
    for (const machine of layout.machines) this.startMachine(machine);
    await this.until('the VMs', async () => {
      const status = await this.operator().status();
      const machines = status
        .map(report => report.machines.length)
        .orDefault(0);
      return machines === layout.machines.length;
    });
  }

  /** The path of the operators' command line. */
  get controlScript(): string {
    return CONTROL_SCRIPT;
  }

  /** Starts an entry VM's process. */
  startMachine(machine: MachineLayout): void {
    const dataFolder = join(this.folder, machine.name);
    mkdirSync(dataFolder, {recursive: true});
    const seeds = this.layout.machines
      .slice(0, 3)
      .map(seed => formatAddress(seed.peerAddress));
    this.processes.start({
      name: machine.name,
      script: ENTRY_SCRIPT,
      flags: [
        'run',
        ...flag('name', machine.name),
        ...flag('data-centre', machine.dataCentre),
        ...flag('caller-address', formatAddress(machine.callerAddress)),
        ...flag('peer-address', formatAddress(machine.peerAddress)),
        ...flag('operator-address', formatAddress(machine.operatorAddress)),
        ...flag('seeds', seeds.join(',')),
        ...flag('control-voter', 'true'),
        ...flag('initial-voters', this.initialVoters()),
        ...flag('replace-voter-milliseconds', REPLACE_VOTER_MILLISECONDS),
        ...flag('data-folder', dataFolder),
        ...flag('balancer-milliseconds', BALANCER_MILLISECONDS),
      ],
      environment: {
        APRICOTLOCK_PEER_KEY_FILE: join(this.folder, 'peer-key'),
        APRICOTLOCK_MEMBER_KEY_FILE: join(this.folder, 'member-key'),
        APRICOTLOCK_OPERATOR_TOKEN_FILE: this.tokenFile,
        ...this.environment,
      },
      logPath: this.logPath(machine.name),
    });
  }

  /** Starts a stand-in member; after a kill it comes back with its disk. */
  startMember(member: MemberLayout): void {
    const {profile, machines} = this.layout;
    const balancer = machines.map(machine =>
      formatAddress(machine.operatorAddress),
    );
    this.processes.start({
      name: member.name,
      script: MEMBER_SCRIPT,
      flags: [
        ...flag('name', member.name),
        ...flag('database', member.database),
        ...flag('data-centre', member.dataCentre),
        ...flag('address', formatAddress(member.address)),
        ...flag('api-address', formatAddress(member.apiAddress)),
        ...flag('command-address', formatAddress(member.commandAddress)),
        ...this.announcedFlags(member),
        ...balancer.flatMap(address => flag('announce-to', address)),
        ...flag('connections', String(profile.connections)),
        ...flag('slots', String(profile.slots)),
        ...flag('opening-milliseconds', String(profile.openingMilliseconds)),
        ...flag('data-folder', join(this.folder, member.name)),
        ...(member.primary ? ['--primary'] : []),
      ],
      environment: {APRICOTLOCK_MEMBER_KEY: `${KEY_BYTES} member-key`},
      logPath: this.logPath(member.name),
    });
  }

  /** With what operators prove themselves. */
  get operatorToken(): string {
    return `${KEY_BYTES} operator-token`;
  }

  /** A client of one VM's operators' API, the first one's by default. */
  operator(machine: MachineLayout = this.machine(0)): OperatorClient {
    const {operatorAddress} = machine;
    return OperatorClient.create(operatorAddress, this.operatorToken, 'bench');
  }

  /** The entry VM at a place in the layout. */
  machine(index: number): MachineLayout {
    return this.layout.machines[index] as MachineLayout;
  }

  /** The stand-in member with a name. */
  member(name: string): MemberLayout {
    return this.layout.members.find(
      member => member.name === name,
    ) as MemberLayout;
  }

  /** One catalogue entry for each database. */
  catalogueEntries(): readonly CatalogueEntry[] {
    const {profile} = this.layout;
    return profile.databases.map(database => ({
      name: database,
      owner: 'bench',
      class: 'critical',
      database,
      members: profile.membersADatabase,
      limits: {
        connections: profile.connections,
        slots: profile.slots,
        queueLength: 1_000,
        queueMilliseconds: 5_000,
      },
    }));
  }

  /**
   * Puts the first catalogue. It is sent again, as an operator would, while no
   * control VM can decide; the change id makes that safe.
   */
  async acceptCatalogue(entries: readonly CatalogueEntry[]): Promise<void> {
    await this.until('the first catalogue', async () => {
      const answer = await this.operator().putCatalogue(
        'first',
        0,
        entries,
        true,
      );
      return answer.isRight();
    });
  }

  /** Waits until every database has a primary and all its members. */
  async untilWhole(): Promise<void> {
    await this.until('the databases', async () => {
      const status = await this.operator().status();
      const {databases} = status.orDefault({databases: []} as never);
      return (
        databases.length === this.layout.profile.databases.length &&
        databases.every(
          ({primary, members, size}) => primary !== null && members === size,
        )
      );
    });
  }

  /** Gives a stand-in member a command, such as `cut`. */
  async command(member: string, command: string, body?: object): Promise<void> {
    const address = formatAddress(this.member(member).commandAddress);
    await fetch(`http://${address}/${command}`, {
      method: 'POST',
      ...(body === undefined ? {} : {body: JSON.stringify(body)}),
    }).catch(() => undefined);
  }

  /** Polls until `test` holds. Throws when it does not in time. */
  async until(
    what: string,
    test: () => Promise<boolean>,
    timeoutMilliseconds = START_TIMEOUT_MILLISECONDS,
  ): Promise<void> {
    const deadline = this.timer.now() + timeoutMilliseconds;
    while (!(await test())) {
      if (this.timer.now() > deadline) {
        throw new Error(`${what}: not in time; see ${this.folder}`);
      }
      await this.timer.sleep(POLL_MILLISECONDS);
    }
  }

  /** Ends all processes. */
  async stop(): Promise<void> {
    await this.processes.stopAll();
    await this.fabric?.close();
  }

  private initialVoters(): string {
    return this.layout.machines
      .filter(({controlVoter}) => controlVoter)
      .map(({name, peerAddress}) => `${name}=${formatAddress(peerAddress)}`)
      .join(',');
  }

  private announcedFlags({address, apiAddress}: MemberLayout) {
    if (this.fabric === undefined) return [];
    const announced = formatAddress(relayAddress(address));
    const announcedApi = formatAddress(relayAddress(apiAddress));
    return [
      ...flag('announced-address', announced),
      ...flag('announced-api-address', announcedApi),
    ];
  }

  private logPath(name: string): string {
    return join(this.folder, `${name}.log`);
  }
}

function flag(name: string, value: string): readonly string[] {
  return [`--${name}`, value];
}
