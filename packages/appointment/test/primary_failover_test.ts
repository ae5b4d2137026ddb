import {expect} from 'chai';
import {SingleNodeControlLog} from '@apricotlock/control';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {SystemTimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {
  DrainDeadlines,
  PrimaryFailover,
  LEASE_MILLISECONDS,
  LeaseGrantor,
  MemberAdminClient,
  FailoverCause,
} from '../src/index.js';
import {
  entryMachine,
  groupIn,
  logWithGroup,
  reportMember,
} from './fake_control.js';
import {FakeGroup, FakeMember, FakePromotions} from './fake_group.js';
import {FakeNetwork} from './fake_network.js';

const HOLDER = 'entry-1';
const OTHER = 'entry-2';
/** The repair of replication tries again within this time. */
const REPAIR_MILLISECONDS = 1_000;

describe('PrimaryFailover', function () {
  this.timeout(10_000);
  const timer = SystemTimerService.create();
  let log: SingleNodeControlLog;
  let group: FakeGroup;
  let network: FakeNetwork;
  let promotions: FakePromotions;
  let [a, b, c] = [] as unknown as [FakeMember, FakeMember, FakeMember];

  beforeEach(async () => {
    group = new FakeGroup();
    a = group.add('a', 9);
    b = group.add('b', 9);
    c = group.add('c', 8);
    a.role = 'primary';
    network = new FakeNetwork();
    promotions = new FakePromotions(group, a);
    log = await logWithGroup(['a', 'b', 'c'], 'a', HOLDER);
  });

  function run(cause: FailoverCause): Promise<boolean> {
    const machines = [entryMachine(HOLDER), entryMachine(OTHER)];
    const deadlines = DrainDeadlines.start({
      log,
      timer,
      drainMilliseconds: 7_000,
    });
    return PrimaryFailover.run(groupIn(log), cause, {
      self: 'control-1',
      publicName: 'control-1',
      log,
      network,
      memberAdmin: MemberAdminClient.create(group, timer),
      promotions,
      deadlines,
      grantor: LeaseGrantor.start({log, network, timer, deadlines}),
      holderCandidates: () => machines,
      machines: Observable.of<readonly VirtualMachine[]>(machines),
      timer,
      logger: Logger.silent(),
    });
  }

  describe('when the primary is lost', () => {
    it('promotes the replica with the longest log', async () => {
      a.reachable = false;
      expect(await run('primaryLost')).to.equal(true);
      expect(promotions.ordered).to.deep.equal(['b']);
      expect(groupIn(log)).to.deep.include({primary: 'b', term: 2});
    });

    it('promotes no member if only one member can be fenced', async () => {
      a.reachable = false;
      c.reachable = false;
      expect(await run('primaryLost')).to.equal(false);
      expect(promotions.ordered).to.deep.equal([]);
      expect(b.fencedTerm, 'released again').to.equal(0);
    });

    it('promotes no member without commits that only it and a removed member held', async () => {
      b.number = 8;
      await reportMember(log, 'd', 'draining', 1);
      await reportMember(log, 'd', 'removed', 2);
      a.reachable = false;
      expect(await run('primaryLost')).to.equal(false);
      expect(promotions.ordered).to.deep.equal([]);
      a.reachable = true;
      expect(await run('noPrimary')).to.equal(true);
      expect(groupIn(log).primary).to.equal('a');
    });

    it('assigns no lease holder before the lease of the former one runs out', async () => {
      a.reachable = false;
      network.reachable = false;
      const startedAt = timer.now();
      expect(await run('primaryLost')).to.equal(true);
      expect(timer.now() - startedAt).to.be.at.least(LEASE_MILLISECONDS);
    });

    it('promotes another member if the promoted one is lost', async () => {
      a.reachable = false;
      const firstFailover = run('primaryLost');
      // Member b is lost only after the first failover has finished.
      b.reachable = true;
      await firstFailover;
      b.reachable = false;
      a.reachable = true;
      a.role = 'replica';
      expect(await run('primaryLost')).to.equal(true);
      expect(groupIn(log).primary).to.not.equal('b');
    });
  });

  describe('while members of an earlier promotion are still to be released', () => {
    // Guards against a replica that a later failover counts as fenced, but that
    // receives and so confirms commits of the old primary again.
    it('does not release members that a later failover has fenced', async () => {
      a.cutOff = true;
      expect(await run('primaryLost')).to.equal(true);
      b.cutOff = true;
      a.cutOff = false;
      a.role = 'replica';
      promotions.isImmediate = false;
      const later = run('primaryLost');
      await timer.sleep(REPAIR_MILLISECONDS);
      expect(promotions.ordered).to.deep.equal(['b', 'a']);
      expect([a.fencedTerm, c.fencedTerm]).to.deep.equal([3, 3]);
      promotions.complete(a);
      expect(await later).to.equal(true);
    });
  });

  describe('when a primary of an earlier term is the only member in reach', () => {
    // Guards against reads and writes on a member that was cut off while its
    // successor acknowledged commits.
    it('assigns no primary', async () => {
      a.cutOff = true;
      expect(await run('primaryLost')).to.equal(true);
      a.cutOff = false;
      a.formerTerm = 1;
      b.reachable = false;
      c.reachable = false;
      expect(await run('primaryLost')).to.equal(false);
      expect(await run('noPrimary')).to.equal(false);
      b.reachable = true;
      expect(await run('noPrimary')).to.equal(true);
      expect(groupIn(log).primary).to.equal('b');
    });

    // Guards against a group without a primary although one leads it.
    it('assigns it if another member follows it', async () => {
      expect(await run('primaryLost')).to.equal(true);
      b.reachable = false;
      promotions.complete(c);
      expect(await run('primaryLost')).to.equal(true);
      expect(groupIn(log).primary).to.equal('c');
    });
  });

  describe('when commits stall and too few other members are reachable', () => {
    it('keeps the primary and assigns it again', async () => {
      b.reachable = false;
      expect(await run('primaryLost')).to.equal(false);
      expect(a.role, 'not demoted').to.equal('primary');
      expect(await run('noPrimary')).to.equal(true);
      expect(groupIn(log).primary).to.equal('a');
      expect(promotions.ordered).to.deep.equal([]);
    });
  });

  describe('when only the lease holder is lost', () => {
    it('keeps the primary and assigns a lease holder in a new term', async () => {
      expect(await run('holderLost')).to.equal(true);
      expect(groupIn(log)).to.deep.include({primary: 'a', term: 2});
      expect(promotions.ordered).to.deep.equal([]);
    });
  });

  describe('when another VM leads control before it is finished', () => {
    // Guards against a primary that a former leader assigns by what it saw,
    // while the successor has ordered the promotion of another member.
    it('assigns no primary any more', async () => {
      network.onCall = async () => {
        // The former lease holder has been called, and a new one is sought.
        if (network.called.length !== 2) return;
        log.loseLead();
        await log.propose({
          kind: 'orderPromotion',
          database: 'ledger',
          term: 2,
          member: 'b',
          at: 0,
        });
      };
      expect(await run('holderLost')).to.equal(false);
      expect(groupIn(log)).to.deep.include({
        primary: undefined,
        promoting: 'b',
      });
    });
  });

  describe('when the primary is draining', () => {
    it('promotes a replica that has caught up with it', async () => {
      await reportMember(log, 'a', 'draining', 2);
      expect(await run('planned')).to.equal(true);
      expect(promotions.ordered).to.deep.equal(['b']);
    });

    it('does not promote a replica that is draining too', async () => {
      await reportMember(log, 'a', 'draining', 2);
      await reportMember(log, 'b', 'draining', 2);
      c.number = a.number;
      expect(await run('planned')).to.equal(true);
      expect(promotions.ordered).to.deep.equal(['c']);
    });
  });

  describe('when the promotion is certain to have been refused', () => {
    it('keeps the primary', async () => {
      // The process of member b ends before the order.
      promotions.refused = ['b'];
      expect(await run('planned')).to.equal(true);
      expect(promotions.ordered).to.deep.equal(['b']);
      expect(groupIn(log)).to.deep.include({primary: 'a', term: 2});
    });
  });

  describe('when an earlier failover was interrupted', () => {
    beforeEach(async () => {
      a.reachable = false;
      await log.propose({
        kind: 'beginTerm',
        database: 'ledger',
        expectedTerm: 1,
        term: 2,
        reason: 'test',
        at: 0,
      });
      await log.propose({
        kind: 'orderPromotion',
        database: 'ledger',
        term: 2,
        member: 'c',
        at: 0,
      });
    });

    it('completes the promotion that was ordered and orders no other', async () => {
      a.reachable = true;
      expect(await run('noPrimary')).to.equal(true);
      expect(promotions.ordered).to.deep.equal(['c']);
      expect(groupIn(log)).to.deep.include({primary: 'c', term: 2});
    });

    // Guards against commits on the former primary that are rolled back when
    // member c, which may have been promoted before it stopped, is back.
    it('selects another replica if the member to promote is not running', async () => {
      c.reachable = false;
      a.reachable = true;
      expect(await run('noPrimary')).to.equal(true);
      expect(groupIn(log).primary).to.equal('b');
    });

    it('does not return to the former primary without another replica', async () => {
      c.reachable = false;
      b.reachable = false;
      a.reachable = true;
      expect(await run('noPrimary')).to.equal(false);
      expect(groupIn(log).primary).to.equal(undefined);
    });
  });
});
