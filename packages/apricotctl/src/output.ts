/** The format in which answers are printed. */
export type OutputFormat = 'table' | 'json';

/** A table with column headers. */
export interface OutputTable {
  readonly columns: readonly string[];
  readonly rows: ReadonlyArray<readonly string[]>;
}

/** Writes an answer to standard output, as JSON or as the given table. */
export function writeAnswer(
  format: OutputFormat,
  answer: unknown,
  table: OutputTable,
): void {
  const text =
    format === 'json' ? `${JSON.stringify(answer)}\n` : renderTable(table);
  process.stdout.write(text);
}

/** Renders a table with each column as wide as its widest cell. */
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
