import {mkdirSync, mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {OperatorClient} from '@apricotlock/operator';
import {TimerService} from '@apricotlock/timer';
import {CatalogueEntry, formatAddress} from '@apricotlock/topology';
import {FaultRelays, relayAddress} from './fault_relays.js';
import {Layout, MachineLayout, MemberLayout} from './layout.js';
import {ProcessGroup} from './process_group.js';

const POLL_MILLISECONDS = 25;
const BALANCER_MILLISECONDS = '500';
const START_TIMEOUT_MILLISECONDS = 20_000;
const REPLACE_VOTER_MILLISECONDS = '5000';
const EXAMPLE_KEY = 'an example key of many characters';

const ENTRY_SCRIPT = fileURLToPath(
  import.meta.resolve('apricotlock').replace('index.js', 'main.js'),
);
const MEMBER_SCRIPT = fileURLToPath(
  import.meta.resolve('@apricotlock/standin').replace('index.js', 'main.js'),
);
const CONTROL_SCRIPT = fileURLToPath(
  import.meta.resolve('apricotctl').replace('index.js', 'main.js'),
);

/** Runs a whole system as real processes on the loopback interface. */
export class SystemUnderTest {
  readonly folder = mkdtempSync(join(tmpdir(), 'apricotlock-'));
  readonly tokenFile = join(this.folder, 'operator-token');
  readonly processes = ProcessGroup.create();
  private relays: FaultRelays | undefined;

  private constructor(
    readonly layout: Layout,
    private readonly timer: TimerService,
    private readonly environment: Readonly<Record<string, string>>,
  ) {
    for (const name of ['operator-token', 'peer-key', 'member-key']) {
      writeFileSync(join(this.folder, name), `${EXAMPLE_KEY} ${name}`);
    }
  }

  /**
   * Starts every process of a layout and waits until the first VM lists all
   * VMs and each of them answers operators. The VMs get the variables in `environment` besides their flags.
   */
  static async start(
    layout: Layout,
    timer: TimerService,
    environment: Readonly<Record<string, string>> = {},
  ): Promise<SystemUnderTest> {
    const system = new SystemUnderTest(layout, timer, environment);
    await system.startProcesses();
    return system;
  }

  /** As {@link SystemUnderTest.start}, with fault relays before members. */
  static async startWithFaults(
    layout: Layout,
    timer: TimerService,
  ): Promise<SystemUnderTest> {
    const system = new SystemUnderTest(layout, timer, {});
    const {processes} = system;
    system.relays = await FaultRelays.start(layout, processes, timer);
    await system.startProcesses();
    return system;
  }

  /** The fault relays of the members. Throws if the system has none. */
  get faultRelays(): FaultRelays {
    if (this.relays === undefined) throw new Error('started without relays');
    return this.relays;
  }

  private async startProcesses(): Promise<void> {
    const {layout} = this;
    for (const member of layout.members) this.startMember(member);
    for (const machine of layout.machines) this.startMachine(machine);
    await this.waitUntil('all VMs to join', async () => {
      const status = await this.operatorClient().status();
      const machines = status
        .map(report => report.machines.length)
        .orDefault(0);
      return machines === layout.machines.length;
    });
    // A VM joins the list before it listens to operators.
    await this.waitUntil('all VMs to answer operators', async () => {
      const answers = await Promise.all(
        layout.machines.map(machine => this.operatorClient(machine).status()),
      );
      return answers.every(answer => answer.isRight());
    });
  }

  /** Path of the script of the operators' command-line tool. */
  get controlScript(): string {
    return CONTROL_SCRIPT;
  }

  /** Starts the process of an entry VM. */
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

  /**
   * Starts the process of a stand-in member. A member that was killed restarts
   * with its data folder.
   */
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
      environment: {APRICOTLOCK_MEMBER_KEY: `${EXAMPLE_KEY} member-key`},
      logPath: this.logPath(member.name),
    });
  }

  /** The token that authenticates operators. */
  get operatorToken(): string {
    return `${EXAMPLE_KEY} operator-token`;
  }

  /** Returns a client of the operators' API of a VM, by default the first. */
  operatorClient(machine: MachineLayout = this.machine(0)): OperatorClient {
    const {operatorAddress} = machine;
    return OperatorClient.create(operatorAddress, this.operatorToken, 'bench');
  }

  /** Returns the entry VM at an index of the layout. */
  machine(index: number): MachineLayout {
    return this.layout.machines[index] as MachineLayout;
  }

  /** Returns the stand-in member with the given name. */
  member(name: string): MemberLayout {
    return this.layout.members.find(
      member => member.name === name,
    ) as MemberLayout;
  }

  /** Returns a catalogue entry for each database. */
  catalogueEntries(): readonly CatalogueEntry[] {
    const {profile} = this.layout;
    return profile.databases.map(database => ({
      name: database,
      owner: 'bench',
      class: 'critical',
      database,
      members: profile.membersPerDatabase,
      limits: {
        connections: profile.connections,
        slots: profile.slots,
        queueLength: 1_000,
        queueMilliseconds: 5_000,
      },
    }));
  }

  /**
   * Puts the first catalogue. Until control can commit, the change is resent,
   * as an operator would do; the change id makes the resend safe.
   */
  async putFirstCatalogue(entries: readonly CatalogueEntry[]): Promise<void> {
    await this.waitUntil('the first catalogue to be accepted', async () => {
      const answer = await this.operatorClient().putCatalogue(
        'first',
        0,
        entries,
        true,
      );
      return answer.isRight();
    });
  }

  /** Waits until each database has a primary and is complete. */
  async waitForDatabases(): Promise<void> {
    await this.waitUntil('all databases to be complete', async () => {
      const status = await this.operatorClient().status();
      const {databases} = status.orDefault({databases: []} as never);
      return (
        databases.length === this.layout.profile.databases.length &&
        databases.every(
          ({primary, members, size}) => primary !== null && members === size,
        )
      );
    });
  }

  /** Sends a command such as `cut` to a stand-in member; errors are ignored. */
  async sendCommand(
    member: string,
    command: string,
    body?: object,
  ): Promise<void> {
    const address = formatAddress(this.member(member).commandAddress);
    await fetch(`http://${address}/${command}`, {
      method: 'POST',
      ...(body === undefined ? {} : {body: JSON.stringify(body)}),
    }).catch(() => undefined);
  }

  /**
   * Polls until `condition` returns true. Throws an error with `description`
   * when the timeout expires first.
   */
  async waitUntil(
    description: string,
    condition: () => Promise<boolean>,
    timeoutMilliseconds = START_TIMEOUT_MILLISECONDS,
  ): Promise<void> {
    const deadline = this.timer.now() + timeoutMilliseconds;
    while (!(await condition())) {
      if (this.timer.now() > deadline) {
        throw new Error(
          `timed out waiting for ${description}; see the logs in ${this.folder}`,
        );
      }
      await this.timer.sleep(POLL_MILLISECONDS);
    }
  }

  /** Ends all processes and closes the fault relays. */
  async stop(): Promise<void> {
    await this.processes.stopAll();
    await this.relays?.close();
  }

  private initialVoters(): string {
    return this.layout.machines
      .filter(({controlVoter}) => controlVoter)
      .map(({name, peerAddress}) => `${name}=${formatAddress(peerAddress)}`)
      .join(',');
  }

  private announcedFlags({address, apiAddress}: MemberLayout) {
    if (this.relays === undefined) return [];
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
