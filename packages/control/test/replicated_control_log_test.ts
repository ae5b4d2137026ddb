import {expect} from 'chai';
import {ControlCluster, edit} from './support/control_cluster.js';

describe('ReplicatedControlLog', () => {
  let cluster: ControlCluster;

  afterEach(() => cluster.stop());

  async function editTimes(count: number, from = 0): Promise<void> {
    const via = cluster.log(await cluster.leader());
    for (let version = from; version < from + count; version++) {
      const answer = await via.propose(edit(`edit-${version}`, version));
      expect(answer.extract()).to.include({
        kind: 'accepted',
        version: version + 1,
      });
    }
  }

  describe('a beginning', () => {
    it('waits for every first voter', async () => {
      cluster = await ControlCluster.start(3);
      cluster.wipe('vm-3');
      await cluster.timer.sleep(400);
      const early = cluster.log('vm-1').leading.current;
      await cluster.startOne('vm-3');
      await cluster.leader();
      expect(early).to.equal(false);
    });

    it('is not made again by wiped disks', async () => {
      cluster = await ControlCluster.start(3);
      await editTimes(1);
      for (const name of ['vm-1', 'vm-2']) {
        cluster.wipe(name);
        await cluster.startOne(name);
      }
      await cluster.timer.sleep(800);
      const leaders = [...cluster.logs.values()].filter(
        log => log.leading.current,
      );
      expect(leaders).to.have.length(0);
    });
  });

  describe('a change', () => {
    it('is taken through any VM', async () => {
      cluster = await ControlCluster.start(3);
      await cluster.leader();
      for (const [version, name] of ['vm-1', 'vm-2', 'vm-3'].entries()) {
        const answer = await cluster.log(name).propose(edit(name, version));
        expect(answer.extract()).to.include({kind: 'accepted'});
      }
    });

    it('is never accepted without a quorum', async () => {
      cluster = await ControlCluster.start(3);
      const leader = await cluster.leader();
      const others = ['vm-1', 'vm-2', 'vm-3'].filter(name => name !== leader);
      cluster.network.cut(...others.map(name => cluster.portOf(name)));
      const answer = await cluster.log(leader).propose(edit('lone', 0));
      expect(answer.isLeft()).to.equal(true);
      expect(cluster.log(leader).leading.current).to.equal(false);
    });

    it('gives a resend its first answer after the leader dies', async () => {
      cluster = await ControlCluster.start(3);
      const leader = await cluster.leader();
      const first = await cluster.log(leader).propose(edit('same', 0));
      cluster.kill(leader);
      const next = await cluster.leader();
      const again = await cluster.log(next).propose(edit('same', 0));
      expect(again.extract()).to.deep.equal(first.extract());
      expect(cluster.versionAt(next)).to.equal(1);
    });

    it('of two under one version has one winner', async () => {
      cluster = await ControlCluster.start(3);
      await cluster.leader();
      const answers = await Promise.all(
        ['vm-1', 'vm-2', 'vm-3'].map(name =>
          cluster.log(name).propose(edit(name, 0)),
        ),
      );
      const kinds = answers.map(answer => answer.unsafeCoerce().kind).sort();
      expect(kinds).to.deep.equal(['accepted', 'conflict', 'conflict']);
    });
  });

  describe('a restart of all after hundreds of changes', () => {
    it('comes back to the current state, with its answers', async () => {
      cluster = await ControlCluster.start(3);
      await editTimes(700);
      for (const name of ['vm-1', 'vm-2', 'vm-3']) cluster.kill(name);
      for (const name of ['vm-1', 'vm-2', 'vm-3']) await cluster.startOne(name);
      const leader = cluster.log(await cluster.leader());
      const {view, audit} = leader.state.current;
      expect(view.catalogue.version).to.equal(700);
      expect(
        audit.filter(({action}) => action === 'putCatalogue'),
      ).to.have.length(700);
      const again = await leader.propose(edit('edit-3', 3));
      expect(again.extract()).to.include({kind: 'accepted', version: 4});
    }).timeout(60_000);
  });

  describe('a voter that is cut off for long', () => {
    it('disturbs no leader and catches up', async () => {
      cluster = await ControlCluster.start(3);
      const leader = await cluster.leader();
      const stale = leader === 'vm-1' ? 'vm-2' : 'vm-1';
      cluster.network.cut(cluster.portOf(stale));
      await editTimes(600);
      const {term} = cluster.log(leader).report();
      await cluster.until('silence', () => {
        return cluster.log(stale).leader.current === undefined;
      });
      const age = cluster.log(stale).ageMilliseconds;
      cluster.network.heal();
      await cluster.until('the catch-up', () => {
        return cluster.versionAt(stale) === 600;
      });
      expect(age).to.be.greaterThan(100);
      expect(cluster.log(leader).leading.current).to.equal(true);
      expect(cluster.log(leader).report().term).to.equal(term);
    });
  });

  describe('repair', () => {
    function votersAt(name: string): readonly string[] {
      return cluster
        .log(name)
        .report()
        .members.filter(({role}) => role === 'voter')
        .map(member => member.name)
        .sort();
    }

    it('replaces a lost voter, and survives the next loss', async () => {
      cluster = await ControlCluster.start(3, 1);
      await editTimes(20);
      cluster.kill('vm-3');
      const first = await cluster.leader();
      await cluster.until('the repair', () => {
        return votersAt(first).join() === 'vm-1,vm-2,vm-4';
      });
      expect(cluster.log(first).report().margin).to.equal(1);
      cluster.kill(first);
      const next = await cluster.leader();
      await editTimes(1, 20);
      expect(cluster.versionAt(next)).to.equal(21);
    });

    it('takes a wiped disk as a new voter', async () => {
      cluster = await ControlCluster.start(3);
      await editTimes(20);
      const leader = await cluster.leader();
      const wiped = leader === 'vm-2' ? 'vm-3' : 'vm-2';
      const before = diskOf(leader, wiped);
      cluster.wipe(wiped);
      await cluster.startOne(wiped);
      await cluster.until('the repair', () => {
        const disk = diskOf(leader, wiped);
        return disk !== undefined && disk !== before;
      });
      await cluster.until('the content', () => {
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

  describe('a stop', () => {
    it('hands leadership over first', async () => {
      cluster = await ControlCluster.start(3);
      const leader = await cluster.leader();
      await cluster.log(leader).stop();
      const started = cluster.timer.now();
      await cluster.leader([leader]);
      expect(cluster.timer.now() - started).to.be.lessThan(1_000);
    });
  });
});
