import {expect} from 'chai';
import {PrimaryLeases} from '../src/index.js';
import {SeparateClocks} from './separate_clocks.js';

const DATABASE = 'ledger';
const LEASE_MILLISECONDS = 1_400;

describe('PrimaryLeases', () => {
  let clocks: SeparateClocks;
  let leases: PrimaryLeases;

  beforeEach(() => {
    clocks = new SeparateClocks();
    leases = PrimaryLeases.create(clocks);
  });

  function renew(term: number): void {
    const start = leases.startRenewal();
    leases.recordRenewal({database: DATABASE, term}, start, LEASE_MILLISECONDS);
  }

  it('start at the time of the renewal request', () => {
    const start = leases.startRenewal();
    clocks.advance(LEASE_MILLISECONDS - 1);
    leases.recordRenewal(
      {database: DATABASE, term: 3},
      start,
      LEASE_MILLISECONDS,
    );
    expect(leases.holds(DATABASE, 3)).to.equal(true);
    clocks.advance(1);
    expect(leases.holds(DATABASE, 3)).to.equal(false);
  });

  it('are valid only in their own term', () => {
    renew(3);
    expect(leases.holds(DATABASE, 2)).to.equal(false);
    expect(leases.holds(DATABASE, 4)).to.equal(false);
  });

  it('expire if a suspension stops only the monotonic clock', () => {
    renew(3);
    clocks.wall += LEASE_MILLISECONDS;
    expect(leases.holds(DATABASE, 3)).to.equal(false);
  });

  it('expire if a freeze stops only the wall clock', () => {
    renew(3);
    clocks.monotonic += LEASE_MILLISECONDS;
    expect(leases.holds(DATABASE, 3)).to.equal(false);
  });

  it('are not extended when the wall clock is set back', () => {
    renew(3);
    clocks.wall -= 5_000;
    clocks.monotonic += LEASE_MILLISECONDS;
    expect(leases.holds(DATABASE, 3)).to.equal(false);
  });

  describe('after a revocation', () => {
    it('are not restored by an answer that arrives late', () => {
      const start = leases.startRenewal();
      leases.revokeBefore(DATABASE, 4);
      leases.recordRenewal(
        {database: DATABASE, term: 3},
        start,
        LEASE_MILLISECONDS,
      );
      expect(leases.holds(DATABASE, 3)).to.equal(false);
    });

    it('can be granted in the next term', () => {
      renew(3);
      leases.revokeBefore(DATABASE, 4);
      renew(4);
      expect(leases.holds(DATABASE, 4)).to.equal(true);
    });
  });

  it('are not shortened by a late answer to an earlier renewal', () => {
    const earlierStart = leases.startRenewal();
    clocks.advance(300);
    renew(3);
    leases.recordRenewal(
      {database: DATABASE, term: 3},
      earlierStart,
      LEASE_MILLISECONDS,
    );
    expect(leases.remainingMilliseconds(DATABASE, 3)).to.equal(
      LEASE_MILLISECONDS,
    );
  });
});
