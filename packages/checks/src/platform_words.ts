import {existsSync, readFileSync} from 'node:fs';
import {join, relative} from 'node:path';
import {typeScriptFiles} from './workspace_package.js';

const WORD_LIST_PATH = ['platform', 'words.txt'];

/**
 * Reports names of the users' platform in source files outside `platform/`. The
 * list of names, one per line, is itself in `platform/`, so that the names
 * occur nowhere else.
 */
export function findPlatformWords(root: string): readonly string[] {
  const path = join(root, ...WORD_LIST_PATH);
  if (!existsSync(path)) return [`${WORD_LIST_PATH.join('/')} is missing`];
  const words = readFileSync(path, 'utf8')
    .split('\n')
    .map(line => line.trim())
    .filter(line => line !== '' && !line.startsWith('#'));
  const packages = join(root, 'packages');
  return typeScriptFiles(packages)
    .filter(file => !file.includes('/dist/'))
    .filter(file => !file.includes('/node_modules/'))
    .flatMap(file => findWordsIn(root, file, words));
}

function findWordsIn(
  root: string,
  file: string,
  words: readonly string[],
): readonly string[] {
  const text = readFileSync(file, 'utf8');
  return words
    .filter(word => text.includes(word))
    .map(
      word => `${relative(root, file)} contains the platform's name ${word}`,
    );
}
