import {expect} from 'chai';
import {SingleNodeControlLog} from '@apricotlock/control';
import {Logger} from '@apricotlock/logging';
import {MemberStatus} from '@apricotlock/member';
import {ManualTimerService} from '@apricotlock/timer';
import {DatabaseGroup, findGroup} from '@apricotlock/topology';
import {FailoverRound} from '../src/failover_round.js';
import {SlowMembers} from './slow_members.js';

const DATABASE = 'ledger';
const MEMBERS = ['a', 'b', 'c'];
const ROUND_LIMIT_MILLISECONDS = 6_000;
const STEP_MILLISECONDS = 20;

describe('FailoverRound', () => {
  /** Members `a`, `b` and `c`, of which `a` led term 1; the rest follows it. */
  async function logWithGroup(): Promise<SingleNodeControlLog> {
    const log = SingleNodeControlLog.create('control-1');
    await log.propose({
      kind: 'putCatalogue',
      origin: {changeId: 'first', actor: 'test', at: 0},
      baseVersion: 0,
      entries: [
        {
          name: DATABASE,
          owner: 'test',
          class: 'standard',
          database: DATABASE,
          members: MEMBERS.length,
          limits: {
            connections: 16,
            slots: 2,
            queueLength: 10,
            queueMilliseconds: 100,
          },
        },
      ],
    });
    for (const [index, name] of MEMBERS.entries()) {
      await log.propose({
        kind: 'registerMember',
        announcement: {
          name,
          database: DATABASE,
          dataCentre: 'catania',
          address: {host: '127.0.0.1', port: index},
          apiAddress: {host: '127.0.0.1', port: index},
          incarnation: 1,
        },
        at: 0,
      });
    }
    await log.propose({
      kind: 'beginTerm',
      database: DATABASE,
      expectedTerm: 0,
      term: 1,
      reason: 'test',
      at: 0,
    });
    await log.propose({
      kind: 'setPrimary',
      database: DATABASE,
      term: 1,
      primary: 'a',
      at: 0,
    });
    return log;
  }

  function replica(name: string): MemberStatus {
    return {
      name,
      database: DATABASE,
      fencedTerm: 1,
      term: 1,
      role: 'replica',
      following: true,
      received: 7n,
      applied: 7n,
    };
  }

  function groupOf(log: SingleNodeControlLog): DatabaseGroup {
    const group = findGroup(log.state.current.view, DATABASE);
    if (group === undefined) throw new Error('the group is not known');
    return group;
  }

  /** Lets a round run to its end; what it came to, and how long it took. */
  async function runRound(
    log: SingleNodeControlLog,
    client: SlowMembers,
    timer: ManualTimerService,
  ) {
    let done: boolean | undefined;
    const reason = {text: 'test', highestTerm: 1};
    const options = {log, client, timer, logger: Logger.silent()};
    void FailoverRound.run(groupOf(log), reason, options).then(
      result => (done = result),
    );
    while (done === undefined && timer.now() < ROUND_LIMIT_MILLISECONDS) {
      await timer.advanceTasks(STEP_MILLISECONDS);
    }
    return {done, took: timer.now()};
  }

  it('promotes in one term members whose disks stall', async () => {
    const timer = ManualTimerService.create();
    const client = SlowMembers.create(timer, 600);
    client.add(1, replica('b'));
    client.add(2, replica('c'));
    const log = await logWithGroup();
    const {done, took} = await runRound(log, client, timer);
    expect(done).to.equal(true);
    expect(took).to.be.lessThan(1_600);
    expect(groupOf(log)).to.deep.include({term: 2, primary: 'b'});
  });

  it('gives up when only one member answers', async () => {
    const timer = ManualTimerService.create();
    const client = SlowMembers.create(timer, 1);
    client.add(1, replica('b'));
    const log = await logWithGroup();
    const {done, took} = await runRound(log, client, timer);
    expect(done).to.equal(false);
    expect(took).to.be.lessThan(2_200);
    expect(groupOf(log).primary).to.equal(undefined);
  });
});
