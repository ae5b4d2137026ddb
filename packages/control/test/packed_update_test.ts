import {expect} from 'chai';
import fc from 'fast-check';
import {CatalogueEntry} from '@apricotlock/topology';
import {
  isWorthPacking,
  packUpdate,
  unpackUpdate,
} from '../src/packed_update.js';
import {ViewHistory} from '../src/view_history.js';
import {ViewUpdate} from '../src/view_update.js';

const SEED = 20_261_204;

function updateOf(count: number): ViewUpdate {
  const entries = Array.from({length: count}, (_, number): CatalogueEntry => ({
    name: `entry-${(number * 2_654_435_761) >>> 0}`,
    owner: 'operators',
    class: 'standard',
    database: `ledger-${number % 6}`,
    members: 3,
    limits: {
      connections: 34,
      slots: 3,
      queueLength: 1_000,
      queueMilliseconds: 800,
    },
    terms: {
      consistency: 'readYourWrites',
      statementMilliseconds: 800 + (number % 3),
      priority: 1,
    },
  }));
  const catalogue = {version: 2, entries};
  return {kind: 'full', view: {index: 7, catalogue, groups: []}};
}

describe('PackedUpdate', () => {
  it('returns the same update, in a twentieth of the bytes', () => {
    const update = updateOf(1_000);
    const packed = packUpdate(update);
    expect(unpackUpdate(packed)).to.deep.equal(update);
    expect(packed.bytes.length * 20).to.be.below(JSON.stringify(update).length);
  });

  it('is used only for updates with many entries', () => {
    expect(isWorthPacking(updateOf(3))).to.equal(false);
    expect(isWorthPacking(updateOf(300))).to.equal(true);
  });

  it('is refused, and does no harm, if its bytes are arbitrary', () => {
    const {bytes} = packUpdate(updateOf(50));
    fc.assert(
      fc.property(
        fc.uint8Array({maxLength: 60}),
        fc.nat(bytes.length - 1),
        (arbitrary, cutAt) => {
          for (const each of [arbitrary, bytes.subarray(0, cutAt)]) {
            const update = unpackUpdate({kind: 'packed', bytes: each});
            expect(update).to.equal(undefined);
          }
        },
      ),
      {seed: SEED, numRuns: 300},
    );
  });
});

describe('ViewHistory', () => {
  it('packs an update once, and forwards a received one as it is', () => {
    const update = updateOf(300);
    if (update.kind !== 'full') throw new Error('not a full view');
    const history = ViewHistory.of({...update.view, index: 1});
    history.add(update.view);
    const first = history.packedUpdateFrom(0);
    expect(first.kind).to.equal('packed');
    expect(history.packedUpdateFrom(0)).to.equal(first);
    const received = packUpdate(update);
    history.keepPacked(update, received);
    expect(history.packedUpdateFrom(0)).to.equal(received);
    history.add({...update.view, index: 8});
    expect(history.packedUpdateFrom(0)).not.to.equal(received);
  });
});
