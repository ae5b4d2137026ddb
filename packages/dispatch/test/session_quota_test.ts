import {expect} from 'chai';
import {Deferred} from '@apricotlock/flow';
import {QuotaDecision} from '@apricotlock/quota';
import {
  BEGIN,
  OPEN,
  organisation,
  SessionBench,
} from './support/session_bench.js';

const ACME = organisation('acme', 'key-a');
const NOT_RUN = {
  kind: 'notRun',
  reason: 'overloaded',
  retryAfterMilliseconds: 9,
} as const;

describe('the quota of an organisation', () => {
  let bench: SessionBench;

  beforeEach(() => {
    bench = new SessionBench([ACME]);
  });

  it('counts a single statement, and a transaction once', async () => {
    const link = await bench.start('key-a');
    await bench.ask(link);
    await bench.ask(link, {kind: 'setValue', name: 'a', value: 'b'});
    await bench.ask(link, BEGIN);
    await bench.ask(link);
    await bench.ask(link);
    expect(bench.quota.acquired).to.deep.equal(['acme', 'acme']);
    expect(bench.quota.givenBack).to.deep.equal([]);
  });

  it('does not concern callers without a key', async () => {
    const link = await bench.start(undefined, OPEN);
    expect(await bench.ask(link)).to.equal('member');
    expect(bench.quota.acquired).to.deep.equal([]);
  });

  it('refuses an operation as not run, with its retry time', async () => {
    const link = await bench.start('key-a');
    bench.quota.decisions = [{kind: 'refused', retryAfterMilliseconds: 140}];
    expect(await bench.ask(link)).to.equal('notRun');
    const answer = link.answers[0];
    const failure = answer?.kind === 'failure' ? answer.failure : undefined;
    expect(failure).to.include({retryAfterMilliseconds: 140});
    expect(bench.router.statements).to.have.length(0);
    expect(bench.quota.givenBack).to.deep.equal([]);
    expect(bench.observer.quotaRefusals).to.equal(1);
    expect(bench.observer.failures).to.deep.equal(['notRun']);
    expect(await bench.ask(link)).to.equal('member');
  });

  it('ends the transaction whose first statement it refuses', async () => {
    const link = await bench.start('key-a');
    await bench.ask(link, BEGIN);
    bench.quota.decisions = [{kind: 'refused', retryAfterMilliseconds: 140}];
    await bench.ask(link);
    expect(link.answers.at(-1)?.state).to.equal('idle');
  });

  // An operation that no member ran would otherwise use up the quota while the
  // members are overloaded.
  it('is given back an operation that was not run at any member', async () => {
    const link = await bench.start('key-a');
    bench.router.refusal = NOT_RUN;
    expect(await bench.ask(link)).to.equal('notRun');
    expect(bench.quota.givenBack).to.deep.equal(['acme']);
    expect(bench.observer.quotaRefusals).to.equal(0);
  });

  it('is not given back an operation that may have run', async () => {
    const link = await bench.start('key-a');
    const reason = 'no answer';
    bench.router.refusal = {kind: 'unknown', timedOut: true, reason};
    expect(await bench.ask(link)).to.equal('timeout');
    expect(bench.quota.givenBack).to.deep.equal([]);
  });

  it('counts the wait for it as time of the statement', async () => {
    const link = await bench.start('key-a');
    const decision = Deferred.create<QuotaDecision>();
    bench.quota.decisions = [decision.promise];
    await bench.ask(link);
    await bench.pass(100);
    decision.resolve({kind: 'granted'});
    await bench.pass(0);
    const elapsed =
      bench.timer.now() - (bench.router.statements[0]?.receivedAt ?? 0);
    expect(elapsed).to.equal(120);
  });

  it('does not let a statement run whose time is over', async () => {
    const link = await bench.start('key-a');
    const decision = Deferred.create<QuotaDecision>();
    bench.quota.decisions = [decision.promise];
    await bench.ask(link);
    await bench.pass(800);
    decision.resolve({kind: 'granted'});
    await bench.pass(1);
    expect(link.answers).to.have.length(1);
    expect(bench.router.statements).to.have.length(0);
    expect(bench.quota.givenBack).to.deep.equal(['acme']);
  });
});
