/**
 * Counters, gauges and latency summaries, rendered in the Prometheus text
 * format 0.0.4.
 *
 * @packageDocumentation
 */
export {renderCounters, CounterSet} from './counter_set.js';
export {renderGauge, type Gauge} from './gauge.js';
export {LatencySummary} from './latency_summary.js';
export {LatencySummarySet} from './latency_summary_set.js';
export {renderMetricHeader, type MetricType} from './metric_header.js';
