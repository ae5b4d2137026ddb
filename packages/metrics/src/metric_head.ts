/** What kind of metric Prometheus is told of. */
export type MetricType = 'counter' | 'gauge' | 'summary';

/** The lines that introduce a metric on the page. */
export function headLines(
  name: string,
  help: string,
  type: MetricType,
): readonly string[] {
  return [`# HELP ${name} ${help}`, `# TYPE ${name} ${type}`];
}
