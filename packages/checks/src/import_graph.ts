import {WorkspacePackage} from './workspace_package.js';

/** Imports that are not declared, and declarations that nothing imports. */
export function importFaults(
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

/** A cycle of imports between packages, if there is one. */
export function importCycle(
  packages: readonly WorkspacePackage[],
): readonly string[] | undefined {
  const finished = new Set<string>();
  for (const {name} of packages) {
    const cycle = cycleFrom(name, [], packages, finished);
    if (cycle !== undefined) return cycle;
  }
  return undefined;
}

function cycleFrom(
  name: string,
  path: readonly string[],
  packages: readonly WorkspacePackage[],
  finished: Set<string>,
): readonly string[] | undefined {
  if (path.includes(name)) return [...path.slice(path.indexOf(name)), name];
  if (finished.has(name)) return undefined;
  const found = packages.find(candidate => candidate.name === name);
  for (const next of found?.imported ?? []) {
    if (next === name) continue;
    const cycle = cycleFrom(next, [...path, name], packages, finished);
    if (cycle !== undefined) return cycle;
  }
  finished.add(name);
  return undefined;
}
