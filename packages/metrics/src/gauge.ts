import {headLines} from './metric_head.js';

/** A value that is read when the page is asked for. */
export interface Gauge {
  readonly name: string;
  readonly help: string;
  readonly read: () => number;
}

/** A gauge as it stands on the page. */
export function gaugeLines({name, help, read}: Gauge): readonly string[] {
  return [...headLines(name, help, 'gauge'), `${name} ${read()}`];
}
