import {expect} from 'chai';
import {renderTable} from '../src/index.js';

describe('renderTable', () => {
  it('makes columns as wide as their widest cell', () => {
    const table = {columns: ['A', 'B'], rows: [['long', 'x']]};
    expect(renderTable(table)).to.equal('A     B\nlong  x\n');
  });
});
