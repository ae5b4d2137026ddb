import {expect} from 'chai';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {PrimaryLeases} from '../src/index.js';

const DATABASE = 'ledger';
const LEASE = 1_400;

/** Two clocks that are moved apart. */
class TwoClocks extends TimerService {
  steady = 0;
  wall = 1_000_000;

  override now(): number {
    return this.steady;
  }

  override wallClock(): number {
    return this.wall;
  }

  override once(): Unsubscribe {
    return () => undefined;
  }

  override every(): Unsubscribe {
    return () => undefined;
  }

  advance(milliseconds: number): void {
    this.steady += milliseconds;
    this.wall += milliseconds;
  }
}

describe('PrimaryLeases', () => {
  let clocks: TwoClocks;
  let leases: PrimaryLeases;

  beforeEach(() => {
    clocks = new TwoClocks();
    leases = PrimaryLeases.create(clocks);
  });

  function renew(term: number): void {
    const start = leases.startRenewal();
    leases.renewed({database: DATABASE, term}, start, LEASE);
  }

  it('count from when they were asked for', () => {
    const start = leases.startRenewal();
    clocks.advance(LEASE - 1);
    leases.renewed({database: DATABASE, term: 3}, start, LEASE);
    expect(leases.holds(DATABASE, 3)).to.equal(true);
    clocks.advance(1);
    expect(leases.holds(DATABASE, 3)).to.equal(false);
  });

  it('hold for their own term alone', () => {
    renew(3);
    expect(leases.holds(DATABASE, 2)).to.equal(false);
    expect(leases.holds(DATABASE, 4)).to.equal(false);
  });

  it('are over after a suspension, which the steady clock does not count', () => {
    renew(3);
    clocks.wall += LEASE;
    expect(leases.holds(DATABASE, 3)).to.equal(false);
  });

  it('are over after a freeze, which the steady clock counts', () => {
    renew(3);
    clocks.steady += LEASE;
    expect(leases.holds(DATABASE, 3)).to.equal(false);
  });

  it('are no longer than granted when the time of day goes back', () => {
    renew(3);
    clocks.wall -= 5_000;
    clocks.steady += LEASE;
    expect(leases.holds(DATABASE, 3)).to.equal(false);
  });

  describe('once stopped', () => {
    it('do not come back with an answer that arrives late', () => {
      const start = leases.startRenewal();
      leases.stop(DATABASE, 4);
      leases.renewed({database: DATABASE, term: 3}, start, LEASE);
      expect(leases.holds(DATABASE, 3)).to.equal(false);
    });

    it('may hold in the next term', () => {
      renew(3);
      leases.stop(DATABASE, 4);
      renew(4);
      expect(leases.holds(DATABASE, 4)).to.equal(true);
    });
  });

  it('do not get shorter by an older renewal that comes late', () => {
    const old = leases.startRenewal();
    clocks.advance(300);
    renew(3);
    leases.renewed({database: DATABASE, term: 3}, old, LEASE);
    expect(leases.leftMilliseconds(DATABASE, 3)).to.equal(LEASE);
  });
});
