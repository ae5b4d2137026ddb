import {expect} from 'chai';
import {
  CatalogueValidationError,
  digestOfKey,
  validateOrganisations,
} from '../src/index.js';

const ACME = {name: 'acme', keys: ['SECRET-a'], priority: 0};
const ZETA = {name: 'zeta', keys: ['SECRET-z'], priority: 2};

function listErrors(candidate: unknown): readonly CatalogueValidationError[] {
  return validateOrganisations(candidate).swap().orDefault([]);
}

describe('validateOrganisations', () => {
  it('replaces keys by digests, beside the digests that it is given', () => {
    const quota = {operationsPerSecond: 10, burst: 20};
    const keyDigests = [digestOfKey('old')];
    const edited = [{...ACME, keyDigests, quota}, ZETA];
    expect(validateOrganisations(edited).unsafeCoerce()).to.deep.equal([
      {
        name: 'acme',
        keyDigests: [digestOfKey('old'), digestOfKey('SECRET-a')],
        priority: 0,
        quota,
      },
      {name: 'zeta', keyDigests: [digestOfKey('SECRET-z')], priority: 2},
    ]);
  });

  // A key that is shared would belong to either organisation.
  it('refuses a key that two have, also if one has its digest', () => {
    const message = 'shares a key with organisations[0]';
    for (const shared of [
      {...ZETA, keys: ['SECRET-a']},
      {...ZETA, keyDigests: [digestOfKey('SECRET-a')]},
    ]) {
      expect(listErrors([ACME, shared])).to.deep.equal([
        {path: 'organisations[1]', message},
      ]);
    }
  });

  for (const [what, candidate, path] of [
    ['two of one name', [ACME, {...ZETA, name: 'acme'}], '[1].name'],
    ['a malformed name', [{...ACME, name: 'SECRET name'}], '[0].name'],
    ['a malformed key', [{...ACME, keys: ['SECRET\n']}], '[0].keys[0]'],
    ['a malformed digest', [{...ACME, keyDigests: ['SECRET']}], '[0].key'],
    ['a negative rate', [{...ACME, quota: {burst: 1}}], '[0].quota'],
    ['an unknown field', [{...ACME, 'SECRET-x': 1}], '[0]'],
  ] as const) {
    it(`refuses ${what}, and repeats no value`, () => {
      const text = JSON.stringify(listErrors(candidate));
      expect(text).to.include(`organisations${path}`);
      expect(text).to.not.include('SECRET');
    });
  }
});
