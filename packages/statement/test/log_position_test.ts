import {expect} from 'chai';
import {comparePositions, laterPosition} from '../src/index.js';

describe('log positions', () => {
  it('are ordered by term, then by number', () => {
    const early = {term: 1, number: 90};
    const late = {term: 2, number: 7};
    expect(comparePositions(early, late)).to.be.below(0);
    expect(comparePositions({term: 2, number: 8}, late)).to.be.above(0);
    expect(comparePositions(late, {...late})).to.equal(0);
  });

  it('are later than an undefined position', () => {
    const position = {term: 1, number: 0};
    expect(laterPosition(undefined, position)).to.equal(position);
    expect(laterPosition(position, undefined)).to.equal(position);
    expect(laterPosition(undefined, undefined)).to.equal(undefined);
  });
});
