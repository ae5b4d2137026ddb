import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {findImportCycle, findImportErrors} from './import_graph.js';
import {findPlatformWords} from './platform_words.js';
import {findMissingPromisedTests} from './promises_page.js';
import {renderReferencePage} from './reference_page.js';
import {readWorkspace, WorkspacePackage} from './workspace_package.js';

const MAXIMUM_TEST_SHARE = 1 / 3;

const root = process.cwd();
const pagePath = join(root, 'docs', 'REFERENCE.md');
const packages = readWorkspace(root);

if (process.argv.includes('--write')) {
  writeFileSync(pagePath, renderReferencePage(root));
} else {
  const errors = [
    ...findImportErrors(packages),
    ...cycleErrors(),
    ...referencePageErrors(),
  ];
  errors.push(...testShareErrors(packages), ...findMissingPromisedTests(root));
  errors.push(...findPlatformWords(root));
  for (const error of errors) process.stdout.write(`${error}\n`);
  process.stdout.write(`the tree has ${errors.length} errors\n`);
  process.exitCode = errors.length === 0 ? 0 : 1;
}

function cycleErrors(): readonly string[] {
  const cycle = findImportCycle(packages);
  return cycle === undefined ? [] : [`import cycle: ${cycle.join(' > ')}`];
}

function referencePageErrors(): readonly string[] {
  const current = readFileSync(pagePath, 'utf8') === renderReferencePage(root);
  return current
    ? []
    : ['docs/REFERENCE.md is out of date: run `npm run reference`'];
}

function testShareErrors(all: readonly WorkspacePackage[]): readonly string[] {
  const tests = all.reduce((total, {testLines}) => total + testLines, 0);
  const code = all.reduce((total, {sourceLines}) => total + sourceLines, 0);
  const share = tests / (tests + code);
  process.stdout.write(`${code} lines of code, ${tests} lines of tests\n`);
  return share <= MAXIMUM_TEST_SHARE
    ? []
    : ['tests make up more than a third of all lines'];
}
