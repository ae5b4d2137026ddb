/** How answers are shown. */
export type OutputFormat = 'table' | 'json';

/** Rows for people. */
export interface OutputTable {
  readonly columns: readonly string[];
  readonly rows: ReadonlyArray<readonly string[]>;
}

/** Writes an answer: JSON as it is, or as a table. */
export function writeAnswer(
  format: OutputFormat,
  answer: unknown,
  table: OutputTable,
): void {
  const text =
    format === 'json' ? `${JSON.stringify(answer)}\n` : renderTable(table);
  process.stdout.write(text);
}

/** Columns as wide as their widest cell. */
export function renderTable(table: OutputTable): string {
  const lines = [table.columns, ...table.rows];
  const widths = table.columns.map((_column, index) =>
    Math.max(...lines.map(line => (line[index] ?? '').length)),
  );
  const rendered = lines.map(line =>
    line
      .map((cell, index) => cell.padEnd(widths[index] ?? 0))
      .join('  ')
      .trimEnd(),
  );
  return `${rendered.join('\n')}\n`;
}
