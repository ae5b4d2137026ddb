import {expect} from 'chai';
import {validateEntries} from '../src/index.js';

const VALID_ENTRY = {
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

describe('validateEntries', () => {
  it('accepts a valid catalogue', () => {
    expect(validateEntries([VALID_ENTRY]).isRight()).to.equal(true);
  });

  it('returns every validation error with its path', () => {
    const invalid = {
      ...VALID_ENTRY,
      name: 'Not A Name',
      limits: {...VALID_ENTRY.limits, slots: 0},
    };
    const errors = validateEntries([
      VALID_ENTRY,
      invalid,
      VALID_ENTRY,
    ]).extract();
    expect(errors).to.be.an('array');
    const paths = (errors as ReadonlyArray<{path: string}>).map(
      error => error.path,
    );
    expect(paths).to.include.members([
      'entries[1].name',
      'entries[1].limits.slots',
    ]);
  });

  it('rejects two entries with the same name', () => {
    const errors = validateEntries([VALID_ENTRY, VALID_ENTRY]).extract();
    expect(errors).to.deep.equal([
      {path: 'entries[1].name', message: 'duplicate entry name "bookings"'},
    ]);
  });
});
