import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

const OWN_SCOPE = /^(@apricotlock\/|apricotlock$|apricotctl$)/;
const IMPORT_PATTERN = /(?:from|import\.meta\.resolve\()\s*'([^'.][^']*)'/g;

/** A package of the workspace, as read from its files. */
export interface WorkspacePackage {
  readonly name: string;
  readonly folder: string;
  /** Workspace packages that it declares as dependencies. */
  readonly declared: readonly string[];
  /** Workspace packages that its sources or tests import. */
  readonly imported: readonly string[];
  readonly sourceLines: number;
  readonly testLines: number;
}

interface Manifest {
  readonly name: string;
  readonly dependencies?: Readonly<Record<string, string>>;
}

/** Reads all packages in `packages/` and the one in `platform/`. */
export function readWorkspace(root: string): readonly WorkspacePackage[] {
  const folder = join(root, 'packages');
  const folders = readdirSync(folder).map(name => join(folder, name));
  return [...folders, join(root, 'platform')]
    .filter(path => existsSync(join(path, 'package.json')))
    .map(readPackage);
}

/** Returns the paths of all TypeScript files below a folder. */
export function typeScriptFiles(folder: string): readonly string[] {
  if (!existsSync(folder)) return [];
  return readdirSync(folder, {recursive: true, encoding: 'utf8'})
    .filter(path => path.endsWith('.ts'))
    .map(path => join(folder, path));
}

function readPackage(folder: string): WorkspacePackage {
  const manifest = JSON.parse(
    readFileSync(join(folder, 'package.json'), 'utf8'),
  ) as Manifest;
  const sources = readAll(join(folder, 'src'));
  const tests = readAll(join(folder, 'test'));
  return {
    name: manifest.name,
    folder,
    declared: Object.keys(manifest.dependencies ?? {}).filter(isWorkspaceName),
    imported: importsOf([...sources, ...tests]),
    sourceLines: lineCount(sources),
    testLines: lineCount(tests),
  };
}

function readAll(folder: string): readonly string[] {
  return typeScriptFiles(folder).map(path => readFileSync(path, 'utf8'));
}

function importsOf(texts: readonly string[]): readonly string[] {
  const names = texts.flatMap(text =>
    [...text.matchAll(IMPORT_PATTERN)].map(found => found[1] as string),
  );
  return [...new Set(names.filter(isWorkspaceName).map(packageOf))].sort();
}

/** Returns the package of an import, which may name a subpath of it. */
function packageOf(imported: string): string {
  const parts = imported.split('/');
  return parts.slice(0, imported.startsWith('@') ? 2 : 1).join('/');
}

function isWorkspaceName(name: string): boolean {
  return OWN_SCOPE.test(name);
}

function lineCount(texts: readonly string[]): number {
  return texts.reduce((total, text) => total + text.split('\n').length, 0);
}
