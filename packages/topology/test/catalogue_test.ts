import {expect} from 'chai';
import {checkEntries} from '../src/index.js';

const GOOD_ENTRY = {
  name: 'bookings',
  owner: 'counter-team',
  class: 'critical',
  database: 'booking-ledger-1',
  members: 3,
  limits: {
    connections: 16,
    slots: 2,
    queueLength: 100,
    queueMilliseconds: 2000,
  },
};

describe('checkEntries', () => {
  it('takes a good catalogue', () => {
    expect(checkEntries([GOOD_ENTRY]).isRight()).to.equal(true);
  });

  it('names every fault with its path', () => {
    const bad = {
      ...GOOD_ENTRY,
      name: 'Not A Name',
      limits: {...GOOD_ENTRY.limits, slots: 0},
    };
    const faults = checkEntries([GOOD_ENTRY, bad, GOOD_ENTRY]).extract();
    expect(faults).to.be.an('array');
    const paths = (faults as ReadonlyArray<{path: string}>).map(
      fault => fault.path,
    );
    expect(paths).to.include.members([
      'entries[1].name',
      'entries[1].limits.slots',
    ]);
  });

  it('refuses two entries of one name', () => {
    const faults = checkEntries([GOOD_ENTRY, GOOD_ENTRY]).extract();
    expect(faults).to.deep.equal([
      {path: 'entries[1].name', message: 'the name "bookings" stands twice'},
    ]);
  });
});
