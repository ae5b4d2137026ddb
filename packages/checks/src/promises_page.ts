import {existsSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

const TEST_PATTERN = /`([a-z]+\/test\/[a-z_]+\.ts)`: ((?:“[^”]+”(?:, )?)+)/g;
const TITLE_PATTERN = /“([^”]+)”/g;

/** Reports tests that docs/PROMISES.md names and that their file lacks. */
export function findMissingPromisedTests(root: string): readonly string[] {
  const path = join(root, 'docs', 'PROMISES.md');
  if (!existsSync(path)) return ['docs/PROMISES.md is missing'];
  const page = readFileSync(path, 'utf8');
  return [...page.matchAll(TEST_PATTERN)].flatMap(([, file, titles]) =>
    findMissingTitles(root, file ?? '', titles ?? ''),
  );
}

function findMissingTitles(
  root: string,
  file: string,
  titles: string,
): readonly string[] {
  const below = file.startsWith('platform/') ? [] : ['packages'];
  const path = join(root, ...below, file);
  if (!existsSync(path)) return [`docs/PROMISES.md names ${file}: not found`];
  const text = readFileSync(path, 'utf8');
  return [...titles.matchAll(TITLE_PATTERN)]
    .map(([, title]) => title ?? '')
    .filter(title => !text.includes(title))
    .map(title => `docs/PROMISES.md names “${title}”, which is not in ${file}`);
}
