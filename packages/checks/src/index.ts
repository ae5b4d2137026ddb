/**
 * Checks of the source tree that the linter does not cover. Not shipped.
 *
 * @packageDocumentation
 */
export {findImportCycle, findImportErrors} from './import_graph.js';
export {readKnownFailures, type KnownFailure} from './known_failures.js';
export {findMissingPromisedTests} from './promises_page.js';
export {renderReferencePage} from './reference_page.js';
export {
  judgeReport,
  type TestReport,
  type TestVerdict,
} from './test_verdict.js';
export {
  readWorkspace,
  typeScriptFiles,
  type WorkspacePackage,
} from './workspace_package.js';
