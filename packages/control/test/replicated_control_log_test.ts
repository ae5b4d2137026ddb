import {expect} from 'chai';
import {CatalogueEntry} from '@apricotlock/topology';
import {ControlCommand, MemberReport} from '../src/index.js';
import {ControlCluster, catalogueEdit} from './support/control_cluster.js';
import {MemoryFolder} from './support/memory_folder.js';

const ENTRY: CatalogueEntry = {
  name: 'ledger-writes',
  owner: 'platform',
  class: 'standard',
  database: 'ledger',
  members: 1,
  limits: {
    connections: 16,
    slots: 16,
    queueLength: 1_000,
    queueMilliseconds: 800,
  },
  terms: {consistency: 'primary', statementMilliseconds: 800, priority: 1},
};
const REPORT: MemberReport = {
  name: 'i-1',
  database: 'ledger',
  dataCentre: 'here',
  address: {host: '10.0.0.9', port: 8_080},
  incarnation: 1,
  state: 'active',
  reportSequence: 1,
};

function replacement(
  change: Partial<CatalogueEntry>,
  version = 9,
): ControlCommand {
  const entries = [{...ENTRY, ...change}];
  return {kind: 'replaceCatalogue', version, entries, document: '', at: 1};
}

const UNUSUAL_COMMANDS: Readonly<Record<string, ControlCommand>> = {
  'a queue time of a quarter of an hour': replacement({
    limits: {...ENTRY.limits, queueMilliseconds: 900_000},
  }),
  'a statement time of a day': replacement({
    terms: {
      consistency: 'primary',
      statementMilliseconds: 86_400_000,
      priority: 1_000_000,
    },
  }),
  'a name with other characters': replacement({name: 'magazzino è_1 \ufffd'}),
  'a sequence number above the safe integers': {
    kind: 'reportMember',
    report: {...REPORT, reportSequence: Number.MAX_SAFE_INTEGER + 1},
    at: 1,
  },
};

const MALFORMED_COMMANDS: Readonly<Record<string, unknown>> = {
  'a version that is no number': {...replacement({}), version: NaN},
  'an entry without a name': replacement({name: undefined as never}),
  'an unknown kind': {kind: 'unknown', at: 1},
};

describe('ReplicatedControlLog', () => {
  let cluster: ControlCluster;

  afterEach(() => cluster.stop());

  async function proposeEdits(count: number, from = 0): Promise<void> {
    const via = cluster.log(await cluster.waitForLeader());
    for (let version = from; version < from + count; version++) {
      const answer = await via.propose(
        catalogueEdit(`edit-${version}`, version),
      );
      expect(answer.extract()).to.include({
        kind: 'accepted',
        version: version + 1,
      });
    }
  }

  describe('bootstrap', () => {
    it('elects no leader before every initial voter has started', async () => {
      cluster = await ControlCluster.start(3);
      cluster.wipe('vm-3');
      await cluster.timer.sleep(400);
      const ledBeforeAllStarted = cluster.log('vm-1').leading.current;
      await cluster.startVm('vm-3');
      await cluster.waitForLeader();
      expect(ledBeforeAllStarted).to.equal(false);
    });

    it('does not create a second log after a majority of disks was wiped', async () => {
      cluster = await ControlCluster.start(3);
      await proposeEdits(1);
      for (const name of ['vm-1', 'vm-2']) {
        cluster.wipe(name);
        await cluster.startVm(name);
      }
      await cluster.timer.sleep(800);
      const leaders = [...cluster.logs.values()].filter(
        log => log.leading.current,
      );
      expect(leaders).to.have.length(0);
    });
  });

  describe('propose', () => {
    it('accepts a change through any VM', async () => {
      cluster = await ControlCluster.start(3);
      await cluster.waitForLeader();
      for (const [version, name] of ['vm-1', 'vm-2', 'vm-3'].entries()) {
        const answer = await cluster
          .log(name)
          .propose(catalogueEdit(name, version));
        expect(answer.extract()).to.include({kind: 'accepted'});
      }
    });

    it('accepts no change without a quorum', async () => {
      cluster = await ControlCluster.start(3);
      const leader = await cluster.waitForLeader();
      const others = ['vm-1', 'vm-2', 'vm-3'].filter(name => name !== leader);
      cluster.network.isolate(...others.map(name => cluster.portOf(name)));
      const answer = await cluster
        .log(leader)
        .propose(catalogueEdit('lone', 0));
      expect(answer.isLeft()).to.equal(true);
      expect(cluster.log(leader).leading.current).to.equal(false);
    });

    it('answers a resent change with its first answer after the leader died', async () => {
      cluster = await ControlCluster.start(3);
      const leader = await cluster.waitForLeader();
      const first = await cluster.log(leader).propose(catalogueEdit('same', 0));
      cluster.kill(leader);
      const newLeader = await cluster.waitForLeader();
      const resent = await cluster
        .log(newLeader)
        .propose(catalogueEdit('same', 0));
      expect(resent.extract()).to.deep.equal(first.extract());
      expect(cluster.versionAt(newLeader)).to.equal(1);
    });

    // Guards against a decision of a former leader, made before its successor
    // took over, that the successor's log accepts.
    it('accepts no decision of a term that is over', async () => {
      cluster = await ControlCluster.start(3);
      const former = await cluster.waitForLeader();
      const term = cluster.log(former).leadingTerm as number;
      cluster.network.isolate(cluster.portOf(former));
      await cluster.waitForLeader([former]);
      cluster.network.heal();
      const log = cluster.log(former);
      await cluster.waitUntil('a new leader', () => {
        const {current} = log.leader;
        return current !== undefined && current !== former;
      });
      const decided = await log.proposeInTerm(catalogueEdit('late', 0), term);
      expect(decided.isLeft()).to.equal(true);
      expect(log.isCertainlyLeading).to.equal(false);
      const forwarded = await log.propose(catalogueEdit('edit', 0));
      expect(forwarded.extract()).to.include({kind: 'accepted'});
    });

    it('accepts only one of three concurrent edits of the same version', async () => {
      cluster = await ControlCluster.start(3);
      await cluster.waitForLeader();
      const answers = await Promise.all(
        ['vm-1', 'vm-2', 'vm-3'].map(name =>
          cluster.log(name).propose(catalogueEdit(name, 0)),
        ),
      );
      const kinds = answers.map(answer => answer.unsafeCoerce().kind).sort();
      expect(kinds).to.deep.equal(['accepted', 'conflict', 'conflict']);
    });
  });

  // Guards against an entry that the leader appends and its followers refuse:
  // it is never committed, and neither is any entry after it.
  describe('a command with unusual values', () => {
    for (const [what, command] of Object.entries(UNUSUAL_COMMANDS)) {
      it(`is committed: ${what}`, async () => {
        cluster = await ControlCluster.start(3);
        const leader = cluster.log(await cluster.waitForLeader());
        await leader.propose(replacement({}, 8));
        const answer = await leader.propose(command);
        expect(answer.extract()).to.include({kind: 'accepted'});
        const {version} = leader.state.current.view.catalogue;
        const next = await leader.propose(catalogueEdit('next', version));
        expect(next.extract()).to.include({kind: 'accepted'});
      });
    }

    for (const [what, command] of Object.entries(MALFORMED_COMMANDS)) {
      it(`is refused, and the next one committed: ${what}`, async () => {
        cluster = await ControlCluster.start(3);
        const leader = cluster.log(await cluster.waitForLeader());
        const answer = await leader.propose(command as ControlCommand);
        expect(answer.extract()).to.include({kind: 'refused'});
        const next = await leader.propose(catalogueEdit('next', 0));
        expect(next.extract()).to.include({kind: 'accepted'});
      });
    }
  });

  // Guards against a call of a leader that was frozen or cut off meanwhile.
  describe('a leader without recent contact with a quorum', () => {
    it('is never certain to lead while another VM does', async () => {
      cluster = await ControlCluster.start(3);
      const name = await cluster.waitForLeader();
      const leader = cluster.log(name);
      await cluster.waitUntil('certainty', () => leader.isCertainlyLeading);
      const others = [...cluster.logs.values()].filter(log => log !== leader);
      cluster.network.isolate(cluster.portOf(name));
      let bothLed = false;
      await cluster.waitUntil('election of a successor', () => {
        const hasSuccessor = others.some(log => log.leading.current);
        bothLed ||= hasSuccessor && leader.isCertainlyLeading;
        return hasSuccessor;
      });
      expect(bothLed).to.equal(false);
      expect(leader.isCertainlyLeading).to.equal(false);
    });
  });

  // Guards against a view of the old leader that lacks what its successor has
  // already acknowledged: a hand-over does not wait for an election timeout.
  describe('a leader that hands over', () => {
    it('does not claim to know the newest state', async () => {
      cluster = await ControlCluster.start(3);
      const leader = cluster.log(await cluster.waitForLeader());
      const before = leader.stateAgeMilliseconds;
      const stopped = leader.stop();
      const ledOn = leader.leading.current;
      const during = leader.stateAgeMilliseconds;
      await stopped;
      expect(before).to.be.lessThan(100);
      expect(ledOn).to.equal(true);
      expect(during).to.equal(Infinity);
    });
  });

  describe('a restart of all VMs after hundreds of changes', () => {
    it('restores the current state and the answers to past changes', async () => {
      cluster = await ControlCluster.start(3);
      await proposeEdits(700);
      for (const name of ['vm-1', 'vm-2', 'vm-3']) cluster.kill(name);
      for (const name of ['vm-1', 'vm-2', 'vm-3']) await cluster.startVm(name);
      const leader = cluster.log(await cluster.waitForLeader());
      const {view, audit} = leader.state.current;
      expect(view.catalogue.version).to.equal(700);
      expect(
        audit.filter(({action}) => action === 'putCatalogue'),
      ).to.have.length(700);
      const resent = await leader.propose(catalogueEdit('edit-3', 3));
      expect(resent.extract()).to.include({kind: 'accepted', version: 4});
    }).timeout(60_000);
  });

  describe('a voter that was isolated for long', () => {
    it('catches up without disturbing the leader', async () => {
      cluster = await ControlCluster.start(3);
      const leader = await cluster.waitForLeader();
      const isolated = leader === 'vm-1' ? 'vm-2' : 'vm-1';
      cluster.network.isolate(cluster.portOf(isolated));
      await proposeEdits(600);
      const {term} = cluster.log(leader).report();
      await cluster.waitUntil('loss of contact with the leader', () => {
        return cluster.log(isolated).leader.current === undefined;
      });
      const age = cluster.log(isolated).ageMilliseconds;
      cluster.network.heal();
      await cluster.waitUntil('catch-up of the isolated voter', () => {
        return cluster.versionAt(isolated) === 600;
      });
      expect(age).to.be.greaterThan(100);
      expect(cluster.log(leader).leading.current).to.equal(true);
      expect(cluster.log(leader).report().term).to.equal(term);
    });
  });

  describe('voter replacement', () => {
    it('replaces a lost voter and then tolerates another loss', async () => {
      cluster = await ControlCluster.start(3, 1);
      await proposeEdits(20);
      cluster.kill('vm-3');
      const firstLeader = await cluster.waitForLeader();
      await cluster.waitUntil('voter replacement', () => {
        const voters = [...cluster.votersAt(firstLeader)].sort();
        return voters.join() === 'vm-1,vm-2,vm-4';
      });
      expect(cluster.log(firstLeader).report().margin).to.equal(1);
      cluster.kill(firstLeader);
      const newLeader = await cluster.waitForLeader();
      await proposeEdits(1, 20);
      expect(cluster.versionAt(newLeader)).to.equal(21);
    });

    it('replaces a voter whose disk was wiped', async () => {
      cluster = await ControlCluster.start(3);
      await proposeEdits(20);
      const leader = await cluster.waitForLeader();
      const wiped = leader === 'vm-2' ? 'vm-3' : 'vm-2';
      const oldDiskId = diskOf(leader, wiped);
      cluster.wipe(wiped);
      await cluster.startVm(wiped);
      await cluster.waitUntil('voter replacement', () => {
        const diskId = diskOf(leader, wiped);
        return diskId !== undefined && diskId !== oldDiskId;
      });
      await cluster.waitUntil('replication to the wiped VM', () => {
        return cluster.versionAt(wiped) === 20;
      });
    });

    function diskOf(leader: string, name: string): string | undefined {
      const voters = cluster
        .log(leader)
        .report()
        .members.filter(member => member.role === 'voter');
      return voters.find(member => member.name === name)?.diskId;
    }
  });

  describe('a cluster that must survive the loss of two disks', () => {
    async function startOfThree(spares: number): Promise<string> {
      cluster = await ControlCluster.start(3, spares, {
        faultTolerance: {disks: 2, dataCentres: 1},
        dataCentres: ['catania', 'palermo', 'messina', 'siracusa'],
      });
      return cluster.waitForLeader();
    }

    function waitForVoters(leader: string, count: number): Promise<void> {
      return cluster.waitUntil(`${count} voters`, () => {
        return cluster.votersAt(leader).length === count;
      });
    }

    it('grows to five voters, no more than two in a data centre', async () => {
      const leader = await startOfThree(5);
      await waitForVoters(leader, 5);
      const dataCentres = cluster
        .votersAt(leader)
        .map(name => cluster.dataCentreOf(name));
      expect(new Set(dataCentres).size).to.equal(4);
      expect(cluster.log(leader).report()).to.include({quorum: 3, margin: 2});
    });

    it('keeps every change when two disks are lost at once, twice', async () => {
      const leader = await startOfThree(5);
      await waitForVoters(leader, 5);
      await proposeEdits(20);
      for (const round of [0, 1]) {
        const current = await cluster.waitForLeader();
        const other = cluster
          .votersAt(current)
          .find(name => name !== current) as string;
        for (const name of [current, other]) cluster.wipe(name);
        for (const name of [current, other]) await cluster.startVm(name);
        const next = await cluster.waitForLeader();
        await proposeEdits(1, 20 + round);
        await cluster.waitUntil('five live voters', () => {
          return cluster.log(next).report().margin === 2;
        });
      }
      const last = cluster.log(await cluster.waitForLeader());
      expect(last.state.current.view.catalogue.version).to.equal(22);
    });

    it('serves with the voters that there are while VMs are missing', async () => {
      const leader = await startOfThree(1);
      await waitForVoters(leader, 4);
      await proposeEdits(3);
      expect(cluster.log(leader).targetVoterCount).to.equal(5);
      expect(cluster.versionAt(leader)).to.equal(3);
    });
  });

  describe('a leader whose disk refuses writes', () => {
    it('gives up leadership, and catches up when there is room', async () => {
      cluster = await ControlCluster.start(3);
      await proposeEdits(5);
      const full = await cluster.waitForLeader();
      const disk = cluster.disks.get(full) as MemoryFolder;
      disk.refuse(disk.operations + 1, Infinity);
      const refusedAt = cluster.timer.now();
      const outcome = await cluster.log(full).propose(catalogueEdit('full', 5));
      expect(outcome.extract()).to.include({kind: 'accepted', version: 6});
      const leader = await cluster.waitForLeader([full]);
      expect(cluster.timer.now() - refusedAt).to.be.lessThan(1_000);
      expect(cluster.log(full).leading.current).to.equal(false);
      await proposeEdits(10, 6);
      disk.refuse(Infinity, 0);
      await cluster.waitUntil('catch-up of the VM with a full disk', () => {
        return cluster.versionAt(full) === 16;
      });
      cluster.kill(leader);
      await cluster.waitForLeader();
      await proposeEdits(1, 16);
    });

    it('answers nothing as accepted while all disks refuse writes', async () => {
      cluster = await ControlCluster.start(3);
      await proposeEdits(5);
      const leader = await cluster.waitForLeader();
      for (const disk of cluster.disks.values()) {
        disk.refuse(disk.operations + 1, Infinity);
      }
      const outcome = await cluster
        .log(leader)
        .propose(catalogueEdit('nowhere', 5));
      expect(outcome.isLeft()).to.equal(true);
      for (const disk of cluster.disks.values()) disk.refuse(Infinity, 0);
      await cluster.waitForLeader();
      const resent = await cluster
        .log(leader)
        .propose(catalogueEdit('nowhere', 5));
      expect(resent.extract()).to.include({kind: 'accepted', version: 6});
    });
  });

  describe('stop', () => {
    it('hands leadership over', async () => {
      cluster = await ControlCluster.start(3);
      const leader = await cluster.waitForLeader();
      await cluster.log(leader).stop();
      const stoppedAt = cluster.timer.now();
      await cluster.waitForLeader([leader]);
      expect(cluster.timer.now() - stoppedAt).to.be.lessThan(1_000);
    });
  });
});
