import {rmSync} from 'node:fs';
import {join} from 'node:path';
import {ControlReport} from '@apricotlock/control';
import {testPort} from '@apricotlock/testing';
import {SystemTimerService} from '@apricotlock/timer';
import {CatalogueEntry} from '@apricotlock/topology';
import {
  createLayout,
  Layout,
  MachineLayout,
  Profile,
  PROFILES,
  SystemUnderTest,
} from '../src/index.js';

const BASE_PORT = testPort(3_600);
const INITIAL_VOTERS = 3;
const REQUIRED_VOTERS = 5;
/** Entry VMs only, two of them in a data centre: no backend servers. */
const PROFILE: Profile = {
  ...PROFILES.bonanno,
  databases: [],
  entryMachines: 8,
};

function layoutWithInitialVoters(): Layout {
  const layout = createLayout(PROFILE, BASE_PORT);
  const machines = layout.machines.map((machine, index) => ({
    ...machine,
    controlVoter: index < INITIAL_VOTERS,
  }));
  return {...layout, machines};
}

describe('control that tolerates the loss of two disks, on real processes', () => {
  const timer = SystemTimerService.create();
  let system: SystemUnderTest;

  beforeEach(async () => {
    system = await SystemUnderTest.start(layoutWithInitialVoters(), timer, {
      APRICOTLOCK_TOLERATED_DISK_LOSSES: '2',
    });
    await waitForMargin(2);
  });

  afterEach(() => system.stop());

  function entry(version: number): CatalogueEntry {
    return {
      name: 'booking',
      owner: 'counter',
      class: 'critical',
      database: 'booking-ledger-1',
      members: 3,
      limits: {
        connections: version + 1,
        slots: 1,
        queueLength: 9,
        queueMilliseconds: 99,
      },
    };
  }

  /** Returns the status of the log from the first of the VMs that gives it. */
  async function fetchReport(): Promise<ControlReport | undefined> {
    for (const machine of system.layout.machines) {
      const answer = await system.operatorClient(machine).control();
      const report = answer.toMaybe().extract();
      if (report !== undefined) return report;
    }
    return undefined;
  }

  async function fetchVoters(): Promise<readonly MachineLayout[]> {
    const members = (await fetchReport())?.members ?? [];
    const names = members
      .filter(({role}) => role === 'voter')
      .map(({name}) => name);
    return system.layout.machines.filter(({name}) => names.includes(name));
  }

  /** Waits for five voters of which as many may fail as `margin` says. */
  function waitForMargin(margin: number): Promise<void> {
    return system.waitUntil(`a margin of ${margin}`, async () => {
      const voters = await fetchVoters();
      const report = await fetchReport();
      return voters.length === REQUIRED_VOTERS && report?.margin === margin;
    });
  }

  /** Puts a version through a VM until it is acknowledged. */
  async function put(version: number, via: MachineLayout): Promise<void> {
    const client = system.operatorClient(via);
    await system.waitUntil(`version ${version + 1}`, async () => {
      const answer = await client.putCatalogue(
        `change-${version}`,
        version,
        [entry(version)],
        false,
      );
      return answer.map(({result}) => result === 'accepted').orDefault(false);
    });
  }

  async function readVersion(via: MachineLayout): Promise<number> {
    const catalogue = await system.operatorClient(via).catalogue();
    return catalogue.map(({version}) => version).orDefault(0);
  }

  async function kill({name}: MachineLayout): Promise<void> {
    const ended = system.processes.waitForExit(name);
    system.processes.signal(name, 'SIGKILL');
    await ended;
  }

  it('keeps every change when two disks are lost at once, and again', async () => {
    let version = 0;
    for (let round = 0; round < 2; round++) {
      const voters = await fetchVoters();
      const others = system.layout.machines.filter(
        machine => !voters.includes(machine),
      );
      const via = others[0] as MachineLayout;
      for (let count = 0; count < 3; count++) {
        await put(version, via);
        version += 1;
      }
      const lost = voters.slice(0, 2);
      await Promise.all(lost.map(kill));
      for (const machine of lost) {
        rmSync(join(system.folder, machine.name), {recursive: true});
        system.startMachine(machine);
      }
      await system.waitUntil('the changes to be read back', async () => {
        return (await readVersion(via)) === version;
      });
      await waitForMargin(2);
    }
  });

  it('accepts changes without one data centre', async () => {
    const voters = await fetchVoters();
    const dataCentres = voters.map(({dataCentre}) => dataCentre);
    const crowded = [...dataCentres].sort(
      (left, right) =>
        dataCentres.filter(each => each === right).length -
        dataCentres.filter(each => each === left).length,
    )[0];
    const via = system.layout.machines.find(
      ({dataCentre}) => dataCentre !== crowded,
    ) as MachineLayout;
    await put(0, via);
    const isolated = system.layout.machines.filter(
      ({dataCentre}) => dataCentre === crowded,
    );
    for (const {name} of isolated) system.processes.signal(name, 'SIGSTOP');
    await put(1, via);
    await system.waitUntil('both changes to be read back', async () => {
      return (await readVersion(via)) === 2;
    });
    for (const {name} of isolated) system.processes.signal(name, 'SIGCONT');
    await system.waitUntil('all VMs to have both changes', async () => {
      const versions = await Promise.all(
        system.layout.machines.map(readVersion),
      );
      return versions.every(each => each === 2);
    });
  });
});
