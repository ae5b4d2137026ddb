import {expect} from 'chai';
import {ManualTimerService} from '@apricotlock/timer';
import {DatabaseGroup, Member, ServiceTerms} from '@apricotlock/topology';
import {
  appointmentPatience,
  attemptQueueMilliseconds,
  FreshnessBook,
  isCutOff,
  MemberStandings,
  objectiveLeft,
  queueMilliseconds,
  readOrder,
  shouldCloseIdle,
} from '../src/index.js';

const TERMS: ServiceTerms = {
  consistency: 'readYourWrites',
  statementMilliseconds: 800,
  objectiveMilliseconds: 200,
  maximumStalenessMilliseconds: 2_500,
  priority: 2,
};
const FLOOR = {term: 1, number: 50};

function member(name: string, dataCentre: string): Member {
  const address = {host: '127.0.0.1', port: 1};
  return {
    name,
    database: 'ledger',
    dataCentre,
    address,
    apiAddress: address,
    incarnation: 1,
    state: 'active',
  };
}

const GROUP: DatabaseGroup = {
  database: 'ledger',
  size: 3,
  term: 1,
  primary: 'primary',
  members: [
    member('primary', 'here'),
    member('near', 'here'),
    member('far', 'there'),
  ],
};

describe('the decisions on a read', () => {
  let timer: ManualTimerService;
  let standings: MemberStandings;

  beforeEach(() => {
    timer = ManualTimerService.create();
    standings = MemberStandings.create(timer);
  });

  function order(floorAgeMilliseconds: number): readonly string[] {
    const needs = {floor: FLOOR, floorAgeMilliseconds};
    return readOrder(GROUP, 'here', needs, standings).map(({name}) => name);
  }

  describe('readOrder', () => {
    it('prefers replicas near by, and leaves the primary to writes', () => {
      expect(order(2_000)).to.deep.equal(['near', 'far', 'primary']);
    });

    it('goes to the primary for what replicas cannot have yet', () => {
      standings.wasBehind('near', 30);
      standings.wasBehind('far', 30);
      expect(order(5)[0]).to.equal('primary');
    });

    it('returns to a replica that has caught up', () => {
      standings.wasBehind('near', 30);
      standings.answered('near', {term: 1, number: 60}, 0);
      expect(order(5)[0]).to.equal('near');
    });

    it('forgets a lag that was seen long ago', () => {
      standings.wasBehind('near', 30);
      timer.advance(10_000);
      expect(order(5)[0]).to.equal('near');
    });

    it('goes elsewhere while a replica is full', () => {
      standings.refused('near', 80);
      expect(order(2_000)[0]).to.equal('far');
      timer.advance(300);
      expect(order(2_000)[0]).to.equal('near');
    });

    it('puts a member that failed last, but does not leave it out', () => {
      standings.failed('near');
      expect(order(2_000)).to.deep.equal(['far', 'primary', 'near']);
    });

    it('leaves out members that take no new work', () => {
      const leaving = {...member('near', 'here'), state: 'draining' as const};
      const group = {...GROUP, members: [member('primary', 'here'), leaving]};
      const needs = {floor: FLOOR, floorAgeMilliseconds: 0};
      const names = readOrder(group, 'here', needs, standings).map(
        each => each.name,
      );
      expect(names).to.deep.equal(['primary']);
    });
  });

  describe('FreshnessBook', () => {
    it('gives the oldest evidence that is fresh enough', () => {
      const book = FreshnessBook.create();
      for (const askedAt of [100, 400, 700]) {
        const position = {term: 1, number: askedAt};
        book.note('ledger', {term: 1, askedAt, position});
      }
      expect(book.coverSince('ledger', 101)?.askedAt).to.equal(400);
      expect(book.coverSince('ledger', 701)).to.equal(undefined);
    });

    it('forgets an earlier term, whose records may be gone', () => {
      const book = FreshnessBook.create();
      const position = {term: 1, number: 9};
      book.note('ledger', {term: 1, askedAt: 100, position});
      book.note('ledger', {
        term: 2,
        askedAt: 200,
        position: {term: 2, number: 8},
      });
      expect(book.coverSince('ledger', 0)?.term).to.equal(2);
    });

    it('takes late evidence in at its place', () => {
      const book = FreshnessBook.create();
      const position = {term: 1, number: 9};
      book.note('ledger', {term: 1, askedAt: 300, position});
      book.note('ledger', {term: 1, askedAt: 100, position});
      expect(book.newest('ledger')?.askedAt).to.equal(300);
    });
  });
});

describe('the decisions on waiting', () => {
  it('holds every write while a primary is appointed', () => {
    const {holdMilliseconds} = appointmentPatience(TERMS, {
      milliseconds: 900,
      cutOff: false,
    });
    expect(holdMilliseconds).to.be.within(400, TERMS.statementMilliseconds);
  });

  it('refuses at once when nobody knows when one will be', () => {
    const {holdMilliseconds, retryAfterMilliseconds} = appointmentPatience(
      TERMS,
      {milliseconds: 10_000, cutOff: false},
    );
    expect(holdMilliseconds).to.equal(0);
    expect(retryAfterMilliseconds).to.be.at.least(500);
  });

  it('sends callers of a VM that is cut off elsewhere at once', () => {
    const patience = appointmentPatience(TERMS, {
      milliseconds: 0,
      cutOff: true,
    });
    expect(patience.holdMilliseconds).to.equal(0);
    expect(patience.retryAfterMilliseconds).to.be.below(100);
  });

  it('knows how long an answer can still be in time', () => {
    expect(objectiveLeft(TERMS, 50)).to.equal(150);
    expect(objectiveLeft(TERMS, 900)).to.equal(0);
    const {objectiveMilliseconds: _none, ...without} = TERMS;
    expect(objectiveLeft(without, 50)).to.equal(750);
  });

  it('leaves time to run what got its slot at the last moment', () => {
    const longestStatement = 150;
    const wait = attemptQueueMilliseconds(480, 450);
    expect(wait + longestStatement).to.be.below(450);
    expect(attemptQueueMilliseconds(100, 450)).to.equal(100);
  });

  it('never waits for a slot as long as the statement may take', () => {
    expect(queueMilliseconds(TERMS)).to.be.below(TERMS.statementMilliseconds);
  });
});

describe('the decision that a VM is cut off', () => {
  it('needs both a stale view and silent holders', () => {
    const stale = {viewAgeMilliseconds: 5_000, evidenceAgeMilliseconds: 5_000};
    expect(isCutOff(stale)).to.equal(true);
    expect(isCutOff({...stale, viewAgeMilliseconds: 100})).to.equal(false);
    expect(isCutOff({...stale, evidenceAgeMilliseconds: 100})).to.equal(false);
  });

  it('outlasts an election, and takes no longer than a lease', () => {
    const during = {viewAgeMilliseconds: 850, evidenceAgeMilliseconds: 300};
    expect(isCutOff(during)).to.equal(false);
    const after = {viewAgeMilliseconds: 1_000, evidenceAgeMilliseconds: 600};
    expect(isCutOff(after)).to.equal(true);
  });

  it('closes idle sessions only once callers are sent elsewhere', () => {
    expect(shouldCloseIdle(1)).to.equal(false);
    expect(shouldCloseIdle(2)).to.equal(true);
  });
});
