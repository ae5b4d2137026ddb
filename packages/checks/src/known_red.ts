import {existsSync, readFileSync} from 'node:fs';

const NOTHING_LISTED = 'none';

/** A test that is known to fail for a real fault. */
export interface KnownRed {
  /** The test's full title, as mocha prints it in its report. */
  readonly test: string;
  readonly note: string;
}

/**
 * Reads KNOWN-RED.txt: one entry a line, `full test title | command and seed
 * | what was seen | issue`; lines that begin with `#` are comments, and a
 * list without entries says `none`.
 */
export function readKnownRed(path: string): readonly KnownRed[] {
  if (!existsSync(path)) return [];
  return readFileSync(path, 'utf8')
    .split('\n')
    .map(line => line.trim())
    .filter(line => line !== '' && !line.startsWith('#'))
    .filter(line => line !== NOTHING_LISTED)
    .map(line => {
      const [test, ...rest] = line.split('|').map(part => part.trim());
      return {test: test ?? '', note: rest.join(' | ')};
    });
}
