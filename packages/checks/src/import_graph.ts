import {WorkspacePackage} from './workspace_package.js';

/** Reports imports that are not declared and declarations without an import. */
export function findImportErrors(
  packages: readonly WorkspacePackage[],
): readonly string[] {
  return packages.flatMap(({name, declared, imported}) => [
    ...imported
      .filter(other => other !== name && !declared.includes(other))
      .map(other => `${name} imports ${other} without declaring it`),
    ...declared
      .filter(other => !imported.includes(other))
      .map(other => `${name} declares ${other} without importing it`),
  ]);
}

/** Returns a cycle of imports between packages, if there is one. */
export function findImportCycle(
  packages: readonly WorkspacePackage[],
): readonly string[] | undefined {
  const finished = new Set<string>();
  for (const {name} of packages) {
    const cycle = findCycleFrom(name, [], packages, finished);
    if (cycle !== undefined) return cycle;
  }
  return undefined;
}

function findCycleFrom(
  name: string,
  path: readonly string[],
  packages: readonly WorkspacePackage[],
  finished: Set<string>,
): readonly string[] | undefined {
  if (path.includes(name)) return [...path.slice(path.indexOf(name)), name];
  if (finished.has(name)) return undefined;
  const found = packages.find(candidate => candidate.name === name);
  for (const importedName of found?.imported ?? []) {
    if (importedName === name) continue;
    const cycle = findCycleFrom(
      importedName,
      [...path, name],
      packages,
      finished,
    );
    if (cycle !== undefined) return cycle;
  }
  finished.add(name);
  return undefined;
}
