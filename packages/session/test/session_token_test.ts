import {expect} from 'chai';
import * as fastCheck from 'fast-check';
import {SessionToken} from '../src/index.js';

const FUZZ_SEED = 20261203;

describe('SessionToken', () => {
  describe('parse', () => {
    it('parses the text that toString returns', () => {
      fastCheck.assert(
        fastCheck.property(
          fastCheck.nat(),
          fastCheck.bigInt({min: 0n, max: (1n << 64n) - 1n}),
          (term, position) => {
            const token = SessionToken.of('ledger', term, position);
            const read = SessionToken.parse(token.toString()).unsafeCoerce();
            expect(read).to.deep.equal(token);
          },
        ),
        {seed: FUZZ_SEED},
      );
    });

    it('returns an error for any other text without throwing', () => {
      fastCheck.assert(
        fastCheck.property(fastCheck.string(), text => {
          fastCheck.pre(!text.startsWith('1:'));
          expect(SessionToken.parse(text).isLeft()).to.equal(true);
        }),
        {seed: FUZZ_SEED},
      );
    });
  });

  describe('merge', () => {
    it('requires the later term and the later position', () => {
      const older = SessionToken.of('ledger', 3, 10n);
      const newer = SessionToken.of('ledger', 2, 20n);
      expect(older.merge(newer)).to.deep.equal(
        SessionToken.of('ledger', 3, 20n),
      );
    });
  });
});
