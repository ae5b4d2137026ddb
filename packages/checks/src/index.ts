/**
 * Unshipped: checks of the tree itself that the linter does not make.
 *
 * @packageDocumentation
 */
export {importCycle, importFaults} from './import_graph.js';
export {readKnownRed, type KnownRed} from './known_red.js';
export {referencePage} from './reference_page.js';
export {judge, type TestReport, type TestVerdict} from './test_verdict.js';
export {
  readWorkspace,
  typeScriptFiles,
  type WorkspacePackage,
} from './workspace_package.js';
