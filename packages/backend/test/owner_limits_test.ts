import {expect} from 'chai';
import {CatalogueEntry} from '@apricotlock/topology';
import {computeOwnerLimits, subtractHoldings} from '../src/owner_limits.js';

const ENTRY: CatalogueEntry = {
  name: 'holds',
  owner: 'counter',
  class: 'critical',
  database: 'ledger',
  members: 3,
  limits: {connections: 8, slots: 2, queueLength: 9, queueMilliseconds: 100},
};
const OTHER: CatalogueEntry = {...ENTRY, name: 'reports', class: 'background'};

describe('computeOwnerLimits', () => {
  it('sums the limits of entries, capped by member capacity', () => {
    expect(computeOwnerLimits([ENTRY, OTHER], undefined)).to.include({
      connections: 16,
      slots: 4,
    });
    const capacity = {connections: 10, slots: 3};
    expect(computeOwnerLimits([ENTRY, OTHER], capacity)).to.include(capacity);
  });

  it('subtracts what former owners still hold', () => {
    const remaining = subtractHoldings(
      computeOwnerLimits([ENTRY, OTHER], undefined),
      [{connections: 3, leases: {holds: 1}}],
    );
    expect(remaining).to.include({connections: 13, slots: 3});
    expect(remaining.entries[0]?.limits).to.include({connections: 7, slots: 1});
    expect(remaining.entries[1]?.limits).to.include({connections: 8, slots: 2});
  });
});
