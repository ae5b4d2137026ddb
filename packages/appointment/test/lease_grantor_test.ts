import {expect} from 'chai';
import {Either} from 'purify-ts';
import {Deferred} from '@apricotlock/flow';
import {SingleNodeControlLog} from '@apricotlock/control';
import {ManualTimerService} from '@apricotlock/timer';
import {RENEW_LEASES} from '@apricotlock/work';
import {
  DrainDeadlines,
  LEASE_MILLISECONDS,
  LeaseGrantor,
} from '../src/index.js';
import {DATABASE, logWithGroup} from './fake_control.js';
import {FakeNetwork} from './fake_network.js';

describe('LeaseGrantor', () => {
  let timer: ManualTimerService;
  let log: SingleNodeControlLog;
  let network: FakeNetwork;
  let grantor: LeaseGrantor;

  beforeEach(async () => {
    timer = ManualTimerService.create();
    timer.advance(100_000);
    network = new FakeNetwork();
    log = await logWithGroup(['m1'], 'm1', 'entry-1');
    const deadlines = DrainDeadlines.start({
      log,
      timer,
      drainMilliseconds: 7_000,
    });
    grantor = LeaseGrantor.start({log, network, timer, deadlines});
  });

  async function beginTerm(expectedTerm: number): Promise<void> {
    await log.propose({
      kind: 'beginTerm',
      database: DATABASE,
      expectedTerm,
      term: expectedTerm + 1,
      reason: 'test',
      at: 0,
    });
  }

  async function renew(holder: string, term: number): Promise<number> {
    const handler = network.handlers.get(RENEW_LEASES.name);
    const groups = [{database: DATABASE, term}];
    const answer = (await handler?.({holder, groups} as never)) as Either<
      string,
      {granted: readonly unknown[]}
    >;
    return answer.map(({granted}) => granted.length).orDefault(-1);
  }

  it('grants a lease only to the holder of the current term', async () => {
    expect(await renew('entry-1', 1)).to.equal(1);
    expect(await renew('entry-2', 1)).to.equal(0);
    expect(await renew('entry-1', 2)).to.equal(0);
  });

  it('grants no lease of a term once the next term is open', async () => {
    await beginTerm(1);
    expect(await renew('entry-1', 1)).to.equal(0);
  });

  it('counts a lease as expired only after its full duration', async () => {
    timer.advance(50_000);
    await renew('entry-1', 1);
    timer.advance(LEASE_MILLISECONDS);
    expect(grantor.remainingLeaseMilliseconds(DATABASE)).to.be.above(0);
    timer.advance(LEASE_MILLISECONDS / 10);
    expect(grantor.remainingLeaseMilliseconds(DATABASE)).to.equal(0);
  });

  it('waits for leases that an earlier leader may have granted to expire', () => {
    expect(grantor.remainingLeaseMilliseconds(DATABASE)).to.be.above(
      LEASE_MILLISECONDS,
    );
  });

  it('counts the silence of a lease holder only from the start of its term', async () => {
    timer.advance(50_000);
    expect(
      grantor.silence.silentMilliseconds({database: DATABASE, term: 1}),
    ).equal(0);
    timer.advance(300);
    expect(
      grantor.silence.silentMilliseconds({database: DATABASE, term: 1}),
    ).equal(300);
    expect(
      grantor.silence.silentMilliseconds({database: DATABASE, term: 2}),
    ).equal(0);
  });

  it('does not count a holder as silent whose request waits for a quorum', async () => {
    timer.advance(50_000);
    const term = {database: DATABASE, term: 1};
    expect(grantor.silence.silentMilliseconds(term)).to.equal(0);
    const confirmed = Deferred.create<boolean>();
    log.confirmLeading = () => confirmed.promise;
    timer.advance(400);
    const renewal = renew('entry-1', 1);
    timer.advance(400);
    expect(grantor.silence.silentMilliseconds(term)).to.equal(400);
    // A request of another VM says nothing about the holder.
    void renew('entry-2', 1);
    expect(grantor.silence.silentMilliseconds(term)).to.equal(400);
    confirmed.resolve(false);
    expect(await renewal).to.equal(-1);
    expect(grantor.remainingLeaseMilliseconds(DATABASE)).to.equal(0);
  });

  it('does not count the time in which this VM was held up as silence', () => {
    timer.advance(50_000);
    const term = {database: DATABASE, term: 1};
    expect(grantor.silence.silentMilliseconds(term)).to.equal(0);
    timer.advance(600);
    grantor.silence.excuse();
    expect(grantor.silence.silentMilliseconds(term)).to.equal(0);
    timer.advance(300);
    expect(grantor.silence.silentMilliseconds(term)).to.equal(300);
  });
});
