import {expect} from 'chai';
import fc from 'fast-check';
import {comparePositions} from '@apricotlock/statement';
import {DatabaseGroup, Member} from '@apricotlock/topology';
import {
  fencedNeeded,
  highestTerm,
  KnownMember,
  leaderAmong,
  longestLog,
} from '../src/index.js';

const SEED = 20_917;

function known(
  name: string,
  report: Partial<KnownMember['report']>,
  state: Member['state'] = 'active',
): KnownMember {
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

describe('succession', () => {
  describe('fencedNeeded', () => {
    it('is all members but one, and never one alone', () => {
      const members = ['a', 'b', 'c', 'd'].map(name => known(name, {}).member);
      expect(fencedNeeded(groupOf(members))).to.equal(3);
      expect(fencedNeeded(groupOf(members.slice(0, 3)))).to.equal(2);
      expect(fencedNeeded(groupOf(members.slice(0, 2)))).to.equal(2);
      expect(fencedNeeded(groupOf(members.slice(0, 1)))).to.equal(2);
    });

    it('counts a member that leaves, and not one that has left', () => {
      const members = [
        known('a', {}).member,
        known('b', {}, 'draining').member,
        known('c', {}, 'removed').member,
        known('d', {}).member,
      ];
      expect(fencedNeeded(groupOf(members))).to.equal(2);
    });
  });

  describe('longestLog', () => {
    it('holds every commit that two of three members hold', () => {
      const number = fc.integer({min: 0, max: 9});
      fc.assert(
        fc.property(number, number, number, (first, second, third) => {
          const logs = [first, second, third];
          // A commit is acknowledged once two members hold it.
          const acknowledged = [...logs].sort((a, b) => b - a)[1] as number;
          for (let missing = 0; missing < logs.length; missing++) {
            const fenced = logs
              .map((last, index) =>
                known(`m${index}`, {received: {term: 1, number: last}}),
              )
              .filter((_, index) => index !== missing);
            const chosen = longestLog(fenced) as KnownMember;
            expect(chosen.report.received.number).to.be.at.least(acknowledged);
          }
        }),
        {seed: SEED},
      );
    });

    it('puts a later term before a higher number', () => {
      const chosen = longestLog([
        known('old', {received: {term: 1, number: 90}}),
        known('new', {received: {term: 2, number: 5}}),
      ]);
      expect(chosen?.member.name).to.equal('new');
    });

    it('prefers one that stays among equals only', () => {
      const leaving = known('a', {}, 'draining');
      const staying = known('b', {});
      expect(longestLog([leaving, staying])).to.equal(staying);
      const ahead = known('a', {received: {term: 1, number: 2}}, 'draining');
      expect(longestLog([ahead, staying])).to.equal(ahead);
    });

    it('does not depend on the order of the answers', () => {
      const members = ['a', 'b', 'c'].map(name => known(name, {}));
      const reversed = [...members].reverse();
      expect(longestLog(members)).to.equal(longestLog(reversed));
    });
  });

  it('takes no member for the leader that a later term has replaced', () => {
    const old = known('old', {role: 'primary', term: 1});
    const replica = known('replica', {term: 2});
    expect(leaderAmong([old, replica])).to.equal(undefined);
    expect(leaderAmong([old])).to.equal(old);
  });

  it('goes above every term that was heard of', () => {
    const terms = [known('a', {term: 2}), known('b', {fencedTerm: 5})];
    expect(highestTerm(terms)).to.equal(5);
    expect(comparePositions({term: 5, number: 0}, {term: 2, number: 9})).above(
      0,
    );
  });
});
