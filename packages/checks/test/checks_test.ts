import {expect} from 'chai';
import {
  importCycle,
  importFaults,
  judge,
  WorkspacePackage,
} from '../src/index.js';

function workspacePackage(
  name: string,
  imported: readonly string[],
  declared = imported,
): WorkspacePackage {
  const lines = {sourceLines: 0, testLines: 0};
  return {name, folder: name, declared, imported, ...lines};
}

describe('checks of the tree', () => {
  describe('importCycle', () => {
    it('finds a cycle over several packages', () => {
      const packages = [
        workspacePackage('a', ['b']),
        workspacePackage('b', ['c']),
        workspacePackage('c', ['a']),
      ];
      expect(importCycle(packages)).to.deep.equal(['a', 'b', 'c', 'a']);
    });

    it('takes two ways to one package for no cycle', () => {
      const packages = [
        workspacePackage('a', ['b', 'c']),
        workspacePackage('b', ['c']),
        workspacePackage('c', []),
      ];
      expect(importCycle(packages)).to.equal(undefined);
    });
  });

  describe('importFaults', () => {
    it('names what is not declared and what is not used', () => {
      const packages = [workspacePackage('a', ['b'], ['c'])];
      expect(importFaults(packages)).to.deep.equal([
        'a imports b without declaring it',
        'a declares c without importing it',
      ]);
    });
  });

  describe('judge', () => {
    const red = {fullTitle: 'x'};
    const report = {
      passes: [{fullTitle: 'y'}],
      pending: [],
      failures: [red],
    };

    it('fails on a failure that is not listed', () => {
      expect(judge(report, []).good).to.equal(false);
    });

    it('passes over a failure that is listed, and still counts it', () => {
      const verdict = judge(report, [{test: 'x', note: ''}]);
      expect(verdict).to.deep.include({good: true, failed: 1, known: [red]});
    });

    it('fails when no test ran', () => {
      const empty = {passes: [], pending: [], failures: []};
      expect(judge(empty, []).good).to.equal(false);
    });
  });
});
