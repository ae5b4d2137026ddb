import {expect} from 'chai';
import fc from 'fast-check';
import {comparePositions} from '@apricotlock/statement';
import {DatabaseGroup, Member} from '@apricotlock/topology';
import {
  requiredFencedCount,
  highestTerm,
  MemberWithReport,
  findPrimary,
  longestLog,
} from '../src/index.js';

const SEED = 20_917;

function withReport(
  name: string,
  report: Partial<MemberWithReport['report']>,
  state: Member['state'] = 'active',
): MemberWithReport {
  const address = {host: '127.0.0.1', port: 1};
  return {
    member: {
      name,
      database: 'ledger',
      dataCentre: 'here',
      address,
      apiAddress: address,
      incarnation: 1,
      state,
    },
    report: {
      role: 'replica',
      term: 1,
      received: {term: 1, number: 1},
      fencedTerm: 0,
      ...report,
    },
  };
}

function groupOf(members: readonly Member[]): DatabaseGroup {
  return {
    database: 'ledger',
    size: 1,
    term: 1,
    primary: undefined,
    members,
  };
}

describe('replication state', () => {
  describe('requiredFencedCount', () => {
    it('returns all members but one, and at least two', () => {
      const members = ['a', 'b', 'c', 'd'].map(
        name => withReport(name, {}).member,
      );
      expect(requiredFencedCount(groupOf(members))).to.equal(3);
      expect(requiredFencedCount(groupOf(members.slice(0, 3)))).to.equal(2);
      expect(requiredFencedCount(groupOf(members.slice(0, 2)))).to.equal(2);
      expect(requiredFencedCount(groupOf(members.slice(0, 1)))).to.equal(2);
    });

    it('counts a draining member but not a removed one', () => {
      const members = [
        withReport('a', {}).member,
        withReport('b', {}, 'draining').member,
        withReport('c', {}, 'removed').member,
        withReport('d', {}).member,
      ];
      expect(requiredFencedCount(groupOf(members))).to.equal(2);
    });
  });

  describe('longestLog', () => {
    it('returns a log with every commit that two of three members hold', () => {
      const number = fc.integer({min: 0, max: 9});
      fc.assert(
        fc.property(number, number, number, (first, second, third) => {
          const logs = [first, second, third];
          // A commit is acknowledged once two members hold it.
          const acknowledged = [...logs].sort((a, b) => b - a)[1] as number;
          for (let missing = 0; missing < logs.length; missing++) {
            const fenced = logs
              .map((last, index) =>
                withReport(`m${index}`, {received: {term: 1, number: last}}),
              )
              .filter((_, index) => index !== missing);
            const chosen = longestLog(fenced) as MemberWithReport;
            expect(chosen.report.received.number).to.be.at.least(acknowledged);
          }
        }),
        {seed: SEED},
      );
    });

    it('ranks a later term above a higher number', () => {
      const chosen = longestLog([
        withReport('old', {received: {term: 1, number: 90}}),
        withReport('new', {received: {term: 2, number: 5}}),
      ]);
      expect(chosen?.member.name).to.equal('new');
    });

    it('prefers an active member only among members with equal logs', () => {
      const draining = withReport('a', {}, 'draining');
      const active = withReport('b', {});
      expect(longestLog([draining, active])).to.equal(active);
      const ahead = withReport(
        'a',
        {received: {term: 1, number: 2}},
        'draining',
      );
      expect(longestLog([ahead, active])).to.equal(ahead);
    });

    it('does not depend on the order of the reports', () => {
      const members = ['a', 'b', 'c'].map(name => withReport(name, {}));
      const reversed = [...members].reverse();
      expect(longestLog(members)).to.equal(longestLog(reversed));
    });
  });

  it('does not take a primary of an earlier term for the current one', () => {
    const old = withReport('old', {role: 'primary', term: 1});
    const replica = withReport('replica', {term: 2});
    expect(findPrimary([old, replica])).to.equal(undefined);
    expect(findPrimary([old])).to.equal(old);
  });

  it('finds the latest term in all reports, including fenced terms', () => {
    const terms = [
      withReport('a', {term: 2}),
      withReport('b', {fencedTerm: 5}),
    ];
    expect(highestTerm(terms)).to.equal(5);
    expect(comparePositions({term: 5, number: 0}, {term: 2, number: 9})).above(
      0,
    );
  });
});
