import {expect} from 'chai';
import {
  chooseIdle,
  chooseOpening,
  mustYield,
  PooledConnection,
  PoolFacts,
} from '../src/index.js';

const NOW = 1_000;
const MEAN = 20;

function connection(
  organisation: string | undefined,
  parts: Partial<PooledConnection> = {},
): PooledConnection {
  return {organisation, checkedOutAt: NOW, isInTransaction: false, ...parts};
}

function demand(
  organisation: string | undefined,
  waiting: number,
  since = NOW,
) {
  return {organisation, waiting, since};
}

function facts(
  parts: Partial<PoolFacts<PooledConnection>>,
): PoolFacts<PooledConnection> {
  return {
    idle: [],
    checkedOut: [],
    opening: [],
    demands: [],
    maximum: 4,
    slots: 3,
    meanMilliseconds: MEAN,
    now: NOW,
    ...parts,
  };
}

describe('chooseIdle', () => {
  it('chooses the most recently used connection of the organisation', () => {
    const idle = [connection('a'), connection('a'), connection('b')];
    expect(chooseIdle(idle, 'a')).to.equal(1);
  });

  it('never chooses a connection of another organisation or of none', () => {
    const idle = [connection('a'), connection(undefined)];
    expect(chooseIdle(idle, 'b')).to.equal(-1);
    expect(chooseIdle([connection('a')], undefined)).to.equal(-1);
  });
});

describe('chooseOpening', () => {
  it('opens a connection while the pool is below its maximum', () => {
    const choice = chooseOpening(
      facts({idle: [connection('b')], demands: [demand('a', 1)]}),
    );
    expect(choice).to.deep.equal({
      kind: 'open',
      organisation: 'a',
      replaced: undefined,
    });
  });

  it('replaces the least recently used idle connection of a full pool', () => {
    const idle = ['b', 'c', 'd', 'e'].map(name => connection(name));
    const choice = chooseOpening(facts({idle, demands: [demand('a', 1)]}));
    expect(choice).to.deep.include({kind: 'open', replaced: idle[0]});
  });

  it('does not replace a connection that waiting work will use', () => {
    const idle = ['b', 'c', 'd', 'e'].map(name => connection(name));
    const demands = [demand('a', 1), demand('b', 1)];
    const choice = chooseOpening(facts({idle, demands}));
    expect(choice).to.deep.include({kind: 'open', replaced: idle[1]});
  });

  it('never replaces a connection in use', () => {
    const checkedOut = ['b', 'c', 'd', 'e'].map(name => connection(name));
    const choice = chooseOpening(
      facts({checkedOut, demands: [demand('a', 1)]}),
    );
    expect(choice).to.deep.include({kind: 'wait', isBlocked: true});
  });

  it('waits for an own connection that is expected back soon, and not longer', () => {
    const running = [connection('a')];
    const demands = [demand('a', 1)];
    expect(chooseOpening(facts({checkedOut: running, demands}))).to.deep.equal({
      kind: 'wait',
      until: NOW + MEAN,
      isBlocked: false,
    });
    const later = facts({checkedOut: running, demands, now: NOW + MEAN});
    expect(chooseOpening(later).kind).to.equal('open');
  });

  it('does not wait for a connection that a transaction holds', () => {
    const checkedOut = [connection('a', {isInTransaction: true})];
    const choice = chooseOpening(
      facts({checkedOut, demands: [demand('a', 1)]}),
    );
    expect(choice.kind).to.equal('open');
  });

  it('opens no more connections for an organisation than there are slots', () => {
    const checkedOut = [0, 1, 2].map(() => connection('a'));
    const choice = chooseOpening(
      facts({checkedOut, maximum: 10, demands: [demand('a', 50)]}),
    );
    expect(choice.kind).to.equal('wait');
  });

  it('leaves an opening to other organisations during a backlog of one', () => {
    const demands = [demand('a', 50), demand('b', 1)];
    const choice = chooseOpening(facts({opening: ['a'], demands}));
    expect(choice).to.deep.include({kind: 'open', organisation: 'b'});
    const alone = facts({opening: ['a'], demands: [demand('a', 50)]});
    expect(chooseOpening(alone).kind).to.equal('wait');
  });
});

describe('mustYield', () => {
  const others = ['b', 'c', 'd'].map(name => connection(name));
  const demands = [demand('a', 1, NOW - 500), demand('e', 5)];

  // Guards against organisations that starve because others with a backlog use
  // all connections again at once.
  it('takes a returned connection for one that has waited long for its first', () => {
    const full = facts({checkedOut: others, demands});
    expect(mustYield(full, connection('e'))).to.equal(true);
  });

  it('keeps it if its own work is served before', () => {
    const full = facts({checkedOut: others, demands: demands.toReversed()});
    expect(mustYield(full, connection('e'))).to.equal(false);
  });

  it('keeps it if the wait was short, or the pool can open another', () => {
    const short = [demand('a', 1), demand('e', 5)];
    const full = facts({checkedOut: others, demands: short});
    expect(mustYield(full, connection('e'))).to.equal(false);
    const larger = facts({checkedOut: others, demands, maximum: 5});
    expect(mustYield(larger, connection('e'))).to.equal(false);
  });
});
