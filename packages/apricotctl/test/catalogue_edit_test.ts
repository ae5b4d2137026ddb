import {expect} from 'chai';
import {CatalogueEntry, digestOfKey} from '@apricotlock/topology';
import {
  catalogueChanges,
  organisationChanges,
  parseSince,
  withAssignments,
} from '../src/index.js';

const BOOKING: CatalogueEntry = {
  name: 'booking',
  owner: 'counter',
  class: 'critical',
  database: 'booking-ledger-1',
  members: 3,
  limits: {connections: 16, slots: 2, queueLength: 9, queueMilliseconds: 9},
};

describe('catalogue and audit command helpers', () => {
  describe('withAssignments', () => {
    it('sets values inside an entry', () => {
      const edited = withAssignments([BOOKING], 'booking', [
        'limits.slots=3',
        'owner=desk',
      ]).unsafeCoerce();
      expect(edited).to.deep.equal([
        {...BOOKING, owner: 'desk', limits: {...BOOKING.limits, slots: 3}},
      ]);
    });

    it('rejects malformed assignments', () => {
      for (const text of ['limits.slots', '=3', 'a..b=1', '__proto__.x=1']) {
        expect(withAssignments([BOOKING], 'booking', [text]).isLeft()).to.equal(
          true,
        );
      }
    });
  });

  describe('catalogueChanges', () => {
    it('reports deleted entries and changed values', () => {
      const changed = {...BOOKING, limits: {...BOOKING.limits, slots: 3}};
      const other = {...BOOKING, name: 'other'};
      expect(catalogueChanges([BOOKING, other], [changed])).to.deep.equal([
        {kind: 'delete', path: 'other'},
        {kind: 'change', path: 'booking.limits.slots', now: 2, wanted: 3},
      ]);
    });
  });

  describe('organisationChanges', () => {
    const acme = {name: 'acme', keyDigests: [digestOfKey('one')], priority: 0};

    it('compares keys by their digests, and shows none', () => {
      const same = {name: 'acme', keys: ['one'], priority: 0};
      expect(organisationChanges([acme], [same])).to.deep.equal([]);
      const changes = organisationChanges([acme], [{...same, keys: ['two']}]);
      expect(changes).to.deep.equal([
        {
          kind: 'change',
          path: 'organisations.acme.keyDigests',
          now: acme.keyDigests,
          wanted: [digestOfKey('two')],
        },
      ]);
    });

    it('finds none if the file has no organisations', () => {
      expect(organisationChanges([acme], undefined)).to.deep.equal([]);
    });
  });

  describe('parseSince', () => {
    it('accepts an index or a time', () => {
      expect(parseSince('12')).to.deep.equal({afterIndex: 12, from: 0});
      expect(parseSince('1970-01-01T00:00:01Z')).to.deep.equal({
        afterIndex: 0,
        from: 1_000,
      });
      expect(parseSince('yesterday')).to.equal(undefined);
    });
  });
});
