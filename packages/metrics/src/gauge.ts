import {renderMetricHeader} from './metric_header.js';

/** A metric whose value is read each time the metrics are rendered. */
export interface Gauge {
  readonly name: string;
  readonly help: string;
  readonly read: () => number;
}

/** Renders a gauge as lines of the Prometheus text format. */
export function renderGauge({name, help, read}: Gauge): readonly string[] {
  return [...renderMetricHeader(name, help, 'gauge'), `${name} ${read()}`];
}
