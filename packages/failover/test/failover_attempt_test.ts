import {expect} from 'chai';
import {SingleNodeControlLog} from '@apricotlock/control';
import {Logger} from '@apricotlock/logging';
import {MemberStatus} from '@apricotlock/member';
import {ManualTimerService} from '@apricotlock/timer';
import {DatabaseGroup, findGroup} from '@apricotlock/topology';
import {FailoverAttempt} from '../src/failover_attempt.js';
import {SlowMemberClient} from './slow_member_client.js';

const DATABASE = 'ledger';
const MEMBERS = ['a', 'b', 'c'];
const TIME_LIMIT_MILLISECONDS = 6_000;
const STEP_MILLISECONDS = 20;

describe('FailoverAttempt', () => {
  /** Creates a log with members `a`, `b` and `c`; `a` is primary of term 1. */
  async function createLogWithGroup(): Promise<SingleNodeControlLog> {
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

  function replicaStatus(name: string): MemberStatus {
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
    if (group === undefined) throw new Error('the database group is unknown');
    return group;
  }

  /** Runs an attempt to its end and returns its result and its duration. */
  async function runAttempt(
    log: SingleNodeControlLog,
    client: SlowMemberClient,
    timer: ManualTimerService,
  ) {
    let succeeded: boolean | undefined;
    const reason = {text: 'test', highestTerm: 1};
    const options = {log, client, timer, logger: Logger.silent()};
    void FailoverAttempt.run(groupOf(log), reason, options).then(
      result => (succeeded = result),
    );
    while (succeeded === undefined && timer.now() < TIME_LIMIT_MILLISECONDS) {
      await timer.advanceAsync(STEP_MILLISECONDS);
    }
    return {succeeded, elapsedMilliseconds: timer.now()};
  }

  it('promotes a member within one term although the disks stall', async () => {
    const timer = ManualTimerService.create();
    const client = SlowMemberClient.create(timer, 600);
    client.addMember(1, replicaStatus('b'));
    client.addMember(2, replicaStatus('c'));
    const log = await createLogWithGroup();
    const {succeeded, elapsedMilliseconds} = await runAttempt(
      log,
      client,
      timer,
    );
    expect(succeeded).to.equal(true);
    expect(elapsedMilliseconds).to.be.lessThan(1_600);
    expect(groupOf(log)).to.deep.include({term: 2, primary: 'b'});
  });

  it('fails if only one member answers', async () => {
    const timer = ManualTimerService.create();
    const client = SlowMemberClient.create(timer, 1);
    client.addMember(1, replicaStatus('b'));
    const log = await createLogWithGroup();
    const {succeeded, elapsedMilliseconds} = await runAttempt(
      log,
      client,
      timer,
    );
    expect(succeeded).to.equal(false);
    expect(elapsedMilliseconds).to.be.lessThan(2_200);
    expect(groupOf(log).primary).to.equal(undefined);
  });
});
