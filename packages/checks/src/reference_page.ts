import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {SETTING_DESCRIPTIONS, environmentVariableName} from 'apricotlock';
import {ExitCode} from 'apricotctl';
import {SettingName} from '@apricotlock/proxy';
import {SqlState} from '@apricotlock/wire';
import {typeScriptFiles} from './workspace_package.js';

const ROUTE_PATTERN =
  /\.(get|put|post|delete)\(\s*'(\/[^']*)'|route\(\s*'(GET|PUT|POST|DELETE)',\s*'(\/[^']*)'/g;
/** Packages that name metrics: the entry VM's process and the programs. */
const METRIC_PACKAGES: readonly string[] = ['apricotlock', 'program'];
const METRIC_PATTERN = /\bapricotlock_[a-z0-9_]+\b/g;

/**
 * Renders docs/REFERENCE.md from the code: the settings, codes, routes and
 * metrics that users and operators see.
 */
export function renderReferencePage(root: string): string {
  return [
    '# Reference',
    'Made from the code by `npm run reference`; CI checks that it is current.',
    '## Settings of `apricotlock`',
    markdownTable(['flag', 'variable', 'default', 'meaning'], settingRows()),
    '## Settings of a caller’s session',
    'Set by `SET name = value`, read by `SHOW name`, or given as a start-up ' +
      'parameter.',
    markdownTable(
      ['setting'],
      Object.values(SettingName).map(inlineCode).map(singleCell),
    ),
    '## SQLSTATE codes that apricotlock itself sends or looks for',
    markdownTable(['code', 'name'], sqlStateRows()),
    '## Exit codes of `apricotctl`',
    markdownTable(['code', 'name'], exitCodeRows()),
    '## HTTP routes',
    markdownTable(['method', 'path'], routeRows(root)),
    '## Metrics',
    markdownTable(['name'], metricNames(root).map(inlineCode).map(singleCell)),
    '',
  ].join('\n\n');
}

function settingRows(): ReadonlyArray<readonly string[]> {
  return SETTING_DESCRIPTIONS.map(setting => [
    inlineCode(`--${setting.flag}`),
    inlineCode(environmentVariableName(setting.flag)),
    setting.default === undefined
      ? 'needed'
      : inlineCode(setting.default || ' '),
    setting.describe,
  ]);
}

function sqlStateRows(): ReadonlyArray<readonly string[]> {
  return Object.entries(SqlState)
    .sort(([, left], [, right]) => (left < right ? -1 : 1))
    .map(([name, state]) => [inlineCode(state), toWords(name)]);
}

function exitCodeRows(): ReadonlyArray<readonly string[]> {
  return Object.entries(ExitCode).map(([name, value]) => [
    inlineCode(String(value)),
    toWords(name),
  ]);
}

function routeRows(root: string): ReadonlyArray<readonly string[]> {
  const found = new Set<string>();
  for (const text of readSources(root, 'operator')) {
    for (const match of text.matchAll(ROUTE_PATTERN)) {
      const method = (match[1] ?? match[3] ?? '').toUpperCase();
      found.add(`${match[2] ?? match[4]} ${method}`);
    }
  }
  return [...found].sort().map(route => {
    const [path, method] = route.split(' ');
    return [method ?? '', inlineCode(path ?? '')];
  });
}

function metricNames(root: string): readonly string[] {
  const names = new Set<string>();
  const texts = METRIC_PACKAGES.flatMap(name => readSources(root, name));
  for (const text of texts) {
    for (const match of text.matchAll(METRIC_PATTERN)) names.add(match[0]);
  }
  return [...names].sort();
}

function readSources(root: string, name: string): readonly string[] {
  const folder = join(root, 'packages', name, 'src');
  return typeScriptFiles(folder).map(path => readFileSync(path, 'utf8'));
}

function markdownTable(
  columns: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const lines = [columns, columns.map(() => '---'), ...rows];
  return lines.map(cells => `| ${cells.join(' | ')} |`).join('\n');
}

function inlineCode(text: string): string {
  return `\`${text}\``;
}

function singleCell(text: string): readonly string[] {
  return [text];
}

function toWords(name: string): string {
  return name.toLowerCase().replaceAll('_', ' ');
}
