import {expect} from 'chai';
import * as fastCheck from 'fast-check';
import {FrameSplitter, queryMessage} from '../src/index.js';

const FUZZ_SEED = 20261203;
const LIMIT_BYTES = 1000;

describe('FrameSplitter', () => {
  it('returns the same messages however the stream is chunked', () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.array(fastCheck.string({maxLength: 40}), {minLength: 1}),
        fastCheck.array(fastCheck.integer({min: 1, max: 30})),
        (queries, cuts) => {
          const stream = Buffer.concat(queries.map(queryMessage));
          const splitter = FrameSplitter.create(LIMIT_BYTES, 'regular');
          const frameBytes: Buffer[] = [];
          let offset = 0;
          for (const cut of [...cuts, stream.length]) {
            splitter.push(stream.subarray(offset, offset + cut));
            offset += cut;
            const frames = splitter.drain().unsafeCoerce();
            frameBytes.push(...frames.map(frame => frame.bytes));
          }
          expect(frameBytes.map(String)).to.deep.equal(
            queries.map(query => String(queryMessage(query))),
          );
        },
      ),
      {seed: FUZZ_SEED},
    );
  });

  it('refuses an excessive length before buffering the message', () => {
    const splitter = FrameSplitter.create(LIMIT_BYTES, 'regular');
    splitter.push(Buffer.from([0x51, 0x7f, 0xff, 0xff, 0xff]));
    expect(splitter.takeFrame().extract()).to.deep.equal({
      kind: 'frameTooLong',
      length: 0x7fffffff,
    });
  });

  it('refuses a length smaller than the length field', () => {
    const splitter = FrameSplitter.create(LIMIT_BYTES, 'regular');
    splitter.push(Buffer.from([0x51, 0, 0, 0, 3]));
    expect(splitter.takeFrame().isLeft()).to.equal(true);
  });
});
