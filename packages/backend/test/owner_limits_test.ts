import {expect} from 'chai';
import {CatalogueEntry} from '@apricotlock/topology';
import {ownerLimits, withoutHeld} from '../src/owner_limits.js';

const ENTRY: CatalogueEntry = {
  name: 'holds',
  owner: 'counter',
  class: 'critical',
  database: 'ledger',
  members: 3,
  limits: {connections: 8, slots: 2, queueLength: 9, queueMilliseconds: 100},
};
const OTHER: CatalogueEntry = {...ENTRY, name: 'reports', class: 'background'};

describe('ownerLimits', () => {
  it('adds the entries up, but not beyond what the member can do', () => {
    expect(ownerLimits([ENTRY, OTHER], undefined)).to.include({
      connections: 16,
      slots: 4,
    });
    const capacity = {connections: 10, slots: 3};
    expect(ownerLimits([ENTRY, OTHER], capacity)).to.include(capacity);
  });

  it('leaves to former owners what they still hold', () => {
    const left = withoutHeld(ownerLimits([ENTRY, OTHER], undefined), [
      {connections: 3, leases: {holds: 1}},
    ]);
    expect(left).to.include({connections: 13, slots: 3});
    expect(left.entries[0]?.limits).to.include({connections: 7, slots: 1});
    expect(left.entries[1]?.limits).to.include({connections: 8, slots: 2});
  });
});
