import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {importCycle, importFaults} from './import_graph.js';
import {platformWordFaults} from './platform_words.js';
import {promisesFaults} from './promises_page.js';
import {referencePage} from './reference_page.js';
import {readWorkspace, WorkspacePackage} from './workspace_package.js';

const MAXIMUM_TEST_SHARE = 1 / 3;

const root = process.cwd();
const pagePath = join(root, 'docs', 'REFERENCE.md');
const packages = readWorkspace(root);

if (process.argv.includes('--write')) {
  writeFileSync(pagePath, referencePage(root));
} else {
  const faults = [...importFaults(packages), ...cycleFault(), ...pageFault()];
  faults.push(...shareFault(packages), ...promisesFaults(root));
  faults.push(...platformWordFaults(root));
  for (const fault of faults) process.stdout.write(`${fault}\n`);
  process.stdout.write(`the tree has ${faults.length} faults\n`);
  process.exitCode = faults.length === 0 ? 0 : 1;
}

function cycleFault(): readonly string[] {
  const cycle = importCycle(packages);
  return cycle === undefined
    ? []
    : [`imports in a cycle: ${cycle.join(' > ')}`];
}

function pageFault(): readonly string[] {
  const current = readFileSync(pagePath, 'utf8') === referencePage(root);
  return current ? [] : ['docs/REFERENCE.md is old: run `npm run reference`'];
}

function shareFault(all: readonly WorkspacePackage[]): readonly string[] {
  const tests = all.reduce((total, {testLines}) => total + testLines, 0);
  const code = all.reduce((total, {sourceLines}) => total + sourceLines, 0);
  const share = tests / (tests + code);
  process.stdout.write(`${code} lines of code, ${tests} lines of tests\n`);
  return share <= MAXIMUM_TEST_SHARE ? [] : ['tests are over a third'];
}
