import {existsSync, readFileSync} from 'node:fs';
import {join, relative} from 'node:path';
import {typeScriptFiles} from './workspace_package.js';

const LIST_PATH = ['platform', 'words.txt'];

/**
 * Names that belong to the users' platform and stand outside `platform/`. The
 * list is kept there too, one name a line, so that it is in no other place.
 */
export function platformWordFaults(root: string): readonly string[] {
  const path = join(root, ...LIST_PATH);
  if (!existsSync(path)) return [`${LIST_PATH.join('/')} is missing`];
  const words = readFileSync(path, 'utf8')
    .split('\n')
    .map(line => line.trim())
    .filter(line => line !== '' && !line.startsWith('#'));
  const packages = join(root, 'packages');
  return typeScriptFiles(packages)
    .filter(file => !file.includes('/dist/'))
    .filter(file => !file.includes('/node_modules/'))
    .flatMap(file => faultsIn(root, file, words));
}

function faultsIn(
  root: string,
  file: string,
  words: readonly string[],
): readonly string[] {
  const text = readFileSync(file, 'utf8');
  return words
    .filter(word => text.includes(word))
    .map(word => `${relative(root, file)} has the platform's name ${word}`);
}
