/**
 * Counters, gauges and latency summaries, rendered in the Prometheus text
 * format 0.0.4.
 *
 * @packageDocumentation
 */
export {counterLines, CounterSet} from './counter_set.js';
export {gaugeLines, type Gauge} from './gauge.js';
export {LatencySummary} from './latency_summary.js';
export {headLines, type MetricType} from './metric_header.js';
