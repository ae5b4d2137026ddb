import {existsSync, readFileSync} from 'node:fs';

const EMPTY_LIST_MARKER = 'none';

/** A test that is known to fail because of a real defect. */
export interface KnownFailure {
  /** Full title of the test in mocha's report. */
  readonly test: string;
  readonly note: string;
}

/**
 * Reads KNOWN-RED.txt, which has one entry per line: `full test title | command
 * and seed | what was seen | issue`. Lines that begin with `#` are comments; a
 * list without entries has the line `none`. Returns an empty list if the file
 * does not exist.
 */
export function readKnownFailures(path: string): readonly KnownFailure[] {
  if (!existsSync(path)) return [];
  return readFileSync(path, 'utf8')
    .split('\n')
    .map(line => line.trim())
    .filter(line => line !== '' && !line.startsWith('#'))
    .filter(line => line !== EMPTY_LIST_MARKER)
    .map(line => {
      const [test, ...rest] = line.split('|').map(part => part.trim());
      return {test: test ?? '', note: rest.join(' | ')};
    });
}
