import {expect} from 'chai';
import {assert, property, uint8Array} from 'fast-check';
import {decodeFrames, encodeFrame, PeerFrame} from '../src/peer_frame.js';

const SEED = 20261203;

describe('decodeFrames', () => {
  it('decodes concatenated frames with their sizes', () => {
    const frames: readonly PeerFrame[] = [
      {kind: 'request', id: 1, name: 'a', body: {x: [1, 2n]}},
      {kind: 'up', id: 2, body: Buffer.from('bytes')},
      {kind: 'end', id: 2, from: 'up'},
    ];
    const encoded = frames.map(encodeFrame);
    const decoded = decodeFrames(Buffer.concat(encoded));
    expect(decoded?.map(({frame}) => frame)).to.deep.equal(frames);
    expect(decoded?.map(({bytes}) => bytes)).to.deep.equal(
      encoded.map(({length}) => length),
    );
  });

  it('returns undefined for other bytes, and does not throw', () => {
    assert(
      property(uint8Array({maxLength: 200}), bytes => {
        const decoded = decodeFrames(Buffer.from(bytes));
        if (decoded !== undefined) {
          for (const {frame} of decoded) expect(frame).to.have.property('id');
        }
      }),
      {seed: SEED, numRuns: 5_000},
    );
  });

  // Guards against a process that ends by a stack overflow.
  it('returns undefined for a deeply nested message, and does not throw', () => {
    for (const first of [0x91, 0x81]) {
      const nested = Buffer.alloc(100_000, first);
      expect(decodeFrames(nested)).to.equal(undefined);
    }
  });

  it('allocates little for a message with a huge declared length', () => {
    // The headers of an array, a map, bytes and a string with a declared length
    // of four billion.
    for (const first of [0xdd, 0xdf, 0xc6, 0xdb]) {
      const before = process.memoryUsage().rss;
      const claim = Buffer.from([first, 0xff, 0xff, 0xff, 0xff, 1, 2, 3]);
      expect(decodeFrames(claim)).to.equal(undefined);
      expect(process.memoryUsage().rss - before).to.be.lessThan(16 << 20);
    }
  });
});
