import {expect} from 'chai';
import {
  Arrival,
  arrivalsOf,
  FairScheduler,
  FirstComeScheduler,
  Outcome,
  play,
  SlottedMember,
  zipfRates,
} from './organisation_load.js';

const MAXIMUM = 60;
const STATEMENT_MILLISECONDS = 24;
const SECONDS = 60;
const WAIT_LIMIT_MILLISECONDS = 2_000;

function loadOf(rates: ReadonlyMap<string, number>): readonly Arrival[] {
  return [...rates]
    .flatMap(([name, rate], index) =>
      arrivalsOf(name, rate, SECONDS * 1_000, index * 7_919 + 1),
    )
    .sort((left, right) => left.at - right.at);
}

function waitsOf(outcomes: readonly Outcome[]): readonly number[] {
  return outcomes
    .flatMap(({waitMilliseconds}) => waitMilliseconds ?? [])
    .sort((left, right) => left - right);
}

function percentile(sorted: readonly number[], share: number): number {
  return sorted[Math.floor(sorted.length * share)] ?? 0;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, each) => sum + each, 0) / values.length;
}

describe('WorkQueue and ConnectionPool with organisations', function () {
  this.timeout(20_000);

  // Guards against connections that are closed although they are about to be
  // used again, and against openings that take the slots of statements.
  for (const total of [100, 140, 170]) {
    it(`open fewer connections than in order of arrival, at ${total} per second`, async () => {
      const load = loadOf(zipfRates(100, 1.2, total));
      const before = new SlottedMember(STATEMENT_MILLISECONDS);
      const baseline = new FirstComeScheduler(before, MAXIMUM);
      const waitsBefore = waitsOf(await play(before, baseline, load));
      const after = new SlottedMember(STATEMENT_MILLISECONDS);
      const fair = new FairScheduler(after, MAXIMUM, WAIT_LIMIT_MILLISECONDS);
      const waitsAfter = waitsOf(await play(after, fair, load));
      expect(waitsAfter).to.have.lengthOf(load.length);
      expect(after.connections.length).to.be.below(before.connections.length);
      expect(mean(waitsAfter)).to.be.below(mean(waitsBefore));
      expect(percentile(waitsAfter, 0.99)).to.be.below(
        percentile(waitsBefore, 0.99),
      );
      report(total, 'before', waitsBefore, before);
      report(total, 'after', waitsAfter, after);
    });
  }

  it('use each connection only for its organisation, and never close one in use', async () => {
    const load = loadOf(zipfRates(100, 1.2, 250));
    const member = new SlottedMember(STATEMENT_MILLISECONDS);
    const fair = new FairScheduler(member, MAXIMUM, WAIT_LIMIT_MILLISECONDS);
    const outcomes = await play(member, fair, load);
    expect(outcomes).to.have.lengthOf(load.length);
    expect(fair.mismatches).to.equal(0);
    expect(fair.interruptions).to.equal(0);
    expect(member.mostOpen).to.equal(MAXIMUM);
    report(250, 'overload', waitsOf(outcomes), member);
  });
});

/** Prints the figures of a run if they are asked for. */
function report(
  total: number,
  name: string,
  waits: readonly number[],
  {connections}: SlottedMember,
): void {
  if (process.env['APRICOTLOCK_PRINT'] === undefined) return;
  const opens = (connections.length / SECONDS).toFixed(1);
  const figures = [
    mean(waits),
    percentile(waits, 0.5),
    percentile(waits, 0.99),
  ];
  const text = figures.map(each => each.toFixed(1)).join(', ');
  console.log(
    `${total}/s ${name}: ${waits.length} served, ${opens} opens/s, ` +
      `waits mean, median, 99 %: ${text} ms`,
  );
}
