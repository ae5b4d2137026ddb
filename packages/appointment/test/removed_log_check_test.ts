import {expect} from 'chai';
import {SingleNodeControlLog} from '@apricotlock/control';
import {Logger} from '@apricotlock/logging';
import {SystemTimerService} from '@apricotlock/timer';
import {
  MemberAdminClient,
  RemovedLogCheck,
  requiredFencedCount,
} from '../src/index.js';
import {groupIn, logWithGroup, reportMember} from './fake_control.js';
import {FakeGroup, FakeMember} from './fake_group.js';

const CHECK_MILLISECONDS = 600;

// Guards against a promotion without commits that were acknowledged by the
// primary and a replica that has left since.
describe('the log of a removed member', function () {
  this.timeout(10_000);
  const timer = SystemTimerService.create();
  let log: SingleNodeControlLog;
  let group: FakeGroup;
  let primary: FakeMember;
  let replica: FakeMember;

  beforeEach(async () => {
    group = new FakeGroup();
    primary = group.add('a', 9);
    replica = group.add('b', 8);
    group.add('c', 8);
    primary.role = 'primary';
    log = await logWithGroup(['a', 'b', 'c', 'd'], 'a', 'entry-1');
    await reportMember(log, 'd', 'draining', 2);
    await reportMember(log, 'd', 'removed', 3);
  });

  async function check(): Promise<void> {
    const memberAdmin = MemberAdminClient.create(group, timer);
    const logger = Logger.silent();
    RemovedLogCheck.create({log, memberAdmin, timer, logger}).start(
      groupIn(log),
    );
    await timer.sleep(CHECK_MILLISECONDS);
  }

  it('counts for promotions until a replica has what the primary holds', async () => {
    expect(requiredFencedCount(groupIn(log))).to.equal(3);
    await check();
    expect(requiredFencedCount(groupIn(log)), 'replicas behind').to.equal(3);
    replica.number = 9;
    await check();
    expect(requiredFencedCount(groupIn(log)), 'caught up').to.equal(2);
  });

  it('counts for promotions while the primary does not answer', async () => {
    replica.number = 9;
    primary.reachable = false;
    await check();
    expect(requiredFencedCount(groupIn(log))).to.equal(3);
  });

  it('no longer counts once a member has taken over its address', async () => {
    await log.propose({
      kind: 'reportMember',
      at: 0,
      report: {
        name: 'e',
        database: 'ledger',
        dataCentre: 'here',
        address: {host: '127.0.0.1', port: 'd'.charCodeAt(0)},
        incarnation: 2,
        state: 'active',
        reportSequence: 1,
      },
    });
    // Four voting members: the three that remained, and the new one.
    expect(requiredFencedCount(groupIn(log))).to.equal(3);
    await reportMember(log, 'c', 'draining', 2);
    expect(groupIn(log).members.some(each => each.hasUnconfirmedLog)).to.equal(
      false,
    );
  });

  it('no longer counts once another member was promoted', async () => {
    const database = 'ledger';
    await log.propose({
      kind: 'beginTerm',
      database,
      expectedTerm: 1,
      term: 2,
      reason: 'test',
      at: 0,
    });
    const promotion = {database, term: 2, at: 0};
    await log.propose({kind: 'orderPromotion', ...promotion, member: 'b'});
    await log.propose({kind: 'setPrimary', ...promotion, primary: 'b'});
    expect(requiredFencedCount(groupIn(log))).to.equal(2);
  });
});
