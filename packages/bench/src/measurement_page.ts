import {execFileSync} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import {cpus, totalmem} from 'node:os';
import {Figure, figureTable} from './figure.js';

const BYTES_A_GIBIBYTE = 2 ** 30;

/** One part of the page of measurements. */
export interface MeasurementSection {
  readonly title: string;
  readonly text: string;
  readonly figures: readonly Figure[];
}

/** Writes a page of measurements, with the commit and the machine. */
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

/** Where and at which commit figures were measured. */
export function measurementOrigin(): string {
  const commit = execFileSync('git', ['rev-parse', '--short=12', 'HEAD'], {
    encoding: 'utf8',
  }).trim();
  const gibibytes = Math.round(totalmem() / BYTES_A_GIBIBYTE);
  const [processor] = cpus();
  return (
    `Measured at commit ${commit}, on one machine with ${cpus().length} cores ` +
    `(${processor?.model ?? 'unknown'}) and ${gibibytes} GiB, Node.js ` +
    `${process.version}, all processes on loopback.`
  );
}
