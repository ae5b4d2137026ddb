import {expect} from 'chai';
import {
  findImportCycle,
  findImportErrors,
  judgeReport,
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

describe('checks of the source tree', () => {
  describe('findImportCycle', () => {
    it('finds a cycle through several packages', () => {
      const packages = [
        workspacePackage('a', ['b']),
        workspacePackage('b', ['c']),
        workspacePackage('c', ['a']),
      ];
      expect(findImportCycle(packages)).to.deep.equal(['a', 'b', 'c', 'a']);
    });

    it('does not mistake two paths to one package for a cycle', () => {
      const packages = [
        workspacePackage('a', ['b', 'c']),
        workspacePackage('b', ['c']),
        workspacePackage('c', []),
      ];
      expect(findImportCycle(packages)).to.equal(undefined);
    });
  });

  describe('findImportErrors', () => {
    it('reports undeclared imports and unused declarations', () => {
      const packages = [workspacePackage('a', ['b'], ['c'])];
      expect(findImportErrors(packages)).to.deep.equal([
        'a imports b without declaring it',
        'a declares c without importing it',
      ]);
    });
  });

  describe('judgeReport', () => {
    const failure = {fullTitle: 'x'};
    const report = {
      passes: [{fullTitle: 'y'}],
      pending: [],
      failures: [failure],
    };

    it('rejects a failure that is not listed', () => {
      expect(judgeReport(report, []).isAcceptable).to.equal(false);
    });

    it('accepts a failure that is listed and still counts it', () => {
      const verdict = judgeReport(report, [{test: 'x', note: ''}]);
      expect(verdict).to.deep.include({
        isAcceptable: true,
        failed: 1,
        known: [failure],
      });
    });

    it('rejects a run without tests', () => {
      const empty = {passes: [], pending: [], failures: []};
      expect(judgeReport(empty, []).isAcceptable).to.equal(false);
    });
  });
});
