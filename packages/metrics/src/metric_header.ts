/** The metric types of Prometheus that are used here. */
export type MetricType = 'counter' | 'gauge' | 'summary';

/** Renders the `# HELP` and `# TYPE` lines of a metric. */
export function renderMetricHeader(
  name: string,
  help: string,
  type: MetricType,
): readonly string[] {
  return [`# HELP ${name} ${help}`, `# TYPE ${name} ${type}`];
}
