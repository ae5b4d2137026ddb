import {execFileSync} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import {cpus, totalmem} from 'node:os';
import {Figure, figureTable} from './figure.js';

const BYTES_PER_GIBIBYTE = 2 ** 30;

/** A section of a page of measurements. */
export interface MeasurementSection {
  readonly title: string;
  readonly text: string;
  readonly figures: readonly Figure[];
}

/** Writes a Markdown page that names the commit and machine measured. */
export function writeMeasurementPage(
  path: string,
  title: string,
  sections: readonly MeasurementSection[],
): void {
  const parts = sections.flatMap(section => [
    `## ${section.title}`,
    section.text,
    ...(section.figures.length === 0 ? [] : [figureTable(section.figures)]),
  ]);
  const page = [`# ${title}`, measurementOrigin(), ...parts].join('\n\n');
  writeFileSync(path, `${page}\n`);
}

/** Returns a sentence that names the commit and machine measured. */
export function measurementOrigin(): string {
  const commit = execFileSync('git', ['rev-parse', '--short=12', 'HEAD'], {
    encoding: 'utf8',
  }).trim();
  const gibibytes = Math.round(totalmem() / BYTES_PER_GIBIBYTE);
  const [processor] = cpus();
  return (
    `Measured at commit ${commit}, on one machine with ${cpus().length} cores ` +
    `(${processor?.model ?? 'unknown'}) and ${gibibytes} GiB, Node.js ` +
    `${process.version}, all processes on loopback.`
  );
}
