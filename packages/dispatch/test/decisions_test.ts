import {expect} from 'chai';
import {ManualTimerService} from '@apricotlock/timer';
import {DatabaseGroup, Member, ServiceTerms} from '@apricotlock/topology';
import {
  failoverWaitPolicy,
  attemptQueueMilliseconds,
  PositionSampleHistory,
  isIsolated,
  MemberEstimates,
  remainingObjectiveMilliseconds,
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

describe('decisions on reads', () => {
  let timer: ManualTimerService;
  let estimates: MemberEstimates;

  beforeEach(() => {
    timer = ManualTimerService.create();
    estimates = MemberEstimates.create(timer);
  });

  function order(floorAgeMilliseconds: number): readonly string[] {
    const requirement = {floor: FLOOR, floorAgeMilliseconds};
    return readOrder(GROUP, 'here', requirement, estimates).map(
      ({name}) => name,
    );
  }

  describe('readOrder', () => {
    it('prefers replicas in the same data centre and tries the primary last', () => {
      expect(order(2_000)).to.deep.equal(['near', 'far', 'primary']);
    });

    it('tries the primary first for a position that replicas do not have yet', () => {
      estimates.recordLag('near', 30);
      estimates.recordLag('far', 30);
      expect(order(5)[0]).to.equal('primary');
    });

    it('tries a replica first again once it has caught up', () => {
      estimates.recordLag('near', 30);
      estimates.recordAnswer('near', {term: 1, number: 60}, 0);
      expect(order(5)[0]).to.equal('near');
    });

    it('ignores a lag that was observed long ago', () => {
      estimates.recordLag('near', 30);
      timer.advance(10_000);
      expect(order(5)[0]).to.equal('near');
    });

    it('prefers another replica while one is overloaded', () => {
      estimates.recordRefusal('near', 80);
      expect(order(2_000)[0]).to.equal('far');
      timer.advance(300);
      expect(order(2_000)[0]).to.equal('near');
    });

    it('lets members of equal cost take turns', () => {
      const group = {
        ...GROUP,
        members: [member('primary', 'there'), member('far', 'there')].concat(
          member('other', 'elsewhere'),
        ),
      };
      const requirement = {floor: FLOOR, floorAgeMilliseconds: 2_000};
      const first = [0, 1, 2, 3, 4, 5].map(
        turn => readOrder(group, 'here', requirement, estimates, {turn})[0],
      );
      const names = first.map(each => each?.name);
      expect(names.filter(name => name === 'far')).to.have.length(3);
      expect(names.filter(name => name === 'other')).to.have.length(3);
    });

    it('prefers another replica while one has had a queue in most answers', () => {
      for (let count = 0; count < 5; count++) {
        estimates.recordAnswer('near', FLOOR, 30);
        timer.advance(500);
      }
      expect(order(2_000)[0]).to.equal('far');
      timer.advance(10_000);
      expect(order(2_000)[0]).to.equal('near');
    });

    it('tries a failed member after all others, but does not omit it', () => {
      estimates.recordFailure('near');
      expect(order(2_000)).to.deep.equal(['far', 'primary', 'near']);
    });

    it('avoids a member for longer while it fails without an answer', () => {
      const avoidedFor = () => {
        estimates.recordFailure('near');
        estimates.recordFailure('near');
        const startedAt = timer.now();
        while (estimates.isAvoided('near')) timer.advance(100);
        return timer.now() - startedAt;
      };
      const durations = [1, 2, 3, 4, 5].map(avoidedFor);
      expect(durations).to.deep.equal([400, 800, 1_600, 3_200, 3_200]);
      estimates.recordAnswer('near', FLOOR, 0);
      expect(avoidedFor()).to.equal(400);
    });

    it('omits members that accept no new work', () => {
      const draining = {...member('near', 'here'), state: 'draining' as const};
      const group = {...GROUP, members: [member('primary', 'here'), draining]};
      const requirement = {floor: FLOOR, floorAgeMilliseconds: 0};
      const names = readOrder(group, 'here', requirement, estimates).map(
        each => each.name,
      );
      expect(names).to.deep.equal(['primary']);
    });
  });

  describe('PositionSampleHistory', () => {
    it('returns the oldest sample that is recent enough', () => {
      const history = PositionSampleHistory.create();
      for (const requestedAt of [100, 400, 700]) {
        const position = {term: 1, number: requestedAt};
        history.record('ledger', {term: 1, requestedAt, position});
      }
      expect(history.findCoveringSample('ledger', 101)?.requestedAt).to.equal(
        400,
      );
      expect(history.findCoveringSample('ledger', 701)).to.equal(undefined);
    });

    it('drops samples of earlier terms, whose records may be lost', () => {
      const history = PositionSampleHistory.create();
      const position = {term: 1, number: 9};
      history.record('ledger', {term: 1, requestedAt: 100, position});
      history.record('ledger', {
        term: 2,
        requestedAt: 200,
        position: {term: 2, number: 8},
      });
      expect(history.findCoveringSample('ledger', 0)?.term).to.equal(2);
    });

    it('inserts a late sample in the order of request times', () => {
      const history = PositionSampleHistory.create();
      const position = {term: 1, number: 9};
      history.record('ledger', {term: 1, requestedAt: 300, position});
      history.record('ledger', {term: 1, requestedAt: 100, position});
      expect(history.newest('ledger')?.requestedAt).to.equal(300);
    });
  });
});

describe('decisions on waiting', () => {
  it('holds writes during a failover', () => {
    const {holdMilliseconds} = failoverWaitPolicy(TERMS, {
      durationMilliseconds: 900,
      isolated: false,
    });
    expect(holdMilliseconds).to.be.within(400, TERMS.statementMilliseconds);
  });

  it('refuses writes at once after a long outage of the primary', () => {
    const {holdMilliseconds, retryAfterMilliseconds} = failoverWaitPolicy(
      TERMS,
      {durationMilliseconds: 10_000, isolated: false},
    );
    expect(holdMilliseconds).to.equal(0);
    expect(retryAfterMilliseconds).to.be.at.least(500);
  });

  it('makes callers of an isolated VM retry at once', () => {
    const policy = failoverWaitPolicy(TERMS, {
      durationMilliseconds: 0,
      isolated: true,
    });
    expect(policy.holdMilliseconds).to.equal(0);
    expect(policy.retryAfterMilliseconds).to.be.below(100);
  });

  it('computes the time left until an answer misses its objective', () => {
    expect(remainingObjectiveMilliseconds(TERMS, 50)).to.equal(150);
    expect(remainingObjectiveMilliseconds(TERMS, 900)).to.equal(0);
    const {objectiveMilliseconds: _none, ...without} = TERMS;
    expect(remainingObjectiveMilliseconds(without, 50)).to.equal(750);
  });

  it('leaves time to run a statement that got its slot at the last moment', () => {
    const longestStatement = 150;
    const wait = attemptQueueMilliseconds(480, 450);
    expect(wait + longestStatement).to.be.below(450);
    expect(attemptQueueMilliseconds(100, 450)).to.equal(100);
  });

  it('limits the wait for a slot to less than the time limit of the statement', () => {
    expect(queueMilliseconds(TERMS)).to.be.below(TERMS.statementMilliseconds);
  });
});

describe('isIsolated', () => {
  it('requires both a stale view and silent lease holders', () => {
    const stale = {
      viewAgeMilliseconds: 5_000,
      primaryContactAgeMilliseconds: 5_000,
      hasLostPeer: true,
    };
    expect(isIsolated(stale)).to.equal(true);
    expect(isIsolated({...stale, viewAgeMilliseconds: 100})).to.equal(false);
    expect(isIsolated({...stale, primaryContactAgeMilliseconds: 100})).to.equal(
      false,
    );
  });

  it('tolerates an election, and detects isolation within a lease duration', () => {
    const during = {
      viewAgeMilliseconds: 850,
      primaryContactAgeMilliseconds: 300,
      hasLostPeer: true,
    };
    expect(isIsolated(during)).to.equal(false);
    const after = {
      viewAgeMilliseconds: 1_000,
      primaryContactAgeMilliseconds: 600,
      hasLostPeer: true,
    };
    expect(isIsolated(after)).to.equal(true);
  });

  it('requires that another entry VM does not answer', () => {
    const withoutControl = {
      viewAgeMilliseconds: 5_000,
      primaryContactAgeMilliseconds: 5_000,
      hasLostPeer: false,
    };
    expect(isIsolated(withoutControl)).to.equal(false);
  });

  it('closes idle sessions only after a second failed probe', () => {
    expect(shouldCloseIdle(1)).to.equal(false);
    expect(shouldCloseIdle(2)).to.equal(true);
  });
});
