import {fieldOf, isNode, SyntaxNode} from '@apricotlock/sql';
import {QueryResult, tagOnlyResult} from './query_result.js';
import {ColumnDefinition} from './change.js';
import {evaluate, isTrue, nodesOf, notSupported} from './expression.js';
import {matchingRows, project, StatementContext, scopeOf} from './select.js';
import {Row, Table} from './table.js';
import {uniqueViolationError} from './transaction.js';
import {RowValues, Value} from './value.js';

/** Runs INSERT ... VALUES; supports ON CONFLICT and RETURNING. */
export async function runInsert(
  body: SyntaxNode,
  context: StatementContext,
): Promise<QueryResult> {
  const table = targetTable(body, context);
  const insertedRows: RowValues[] = [];
  for (const values of newRows(body, table, context)) {
    const row = await insertRow(body, table, values, context);
    if (row !== undefined) insertedRows.push(row);
  }
  return buildResult(
    body,
    table,
    insertedRows,
    `INSERT 0 ${insertedRows.length}`,
    context,
  );
}

/** Runs UPDATE; supports RETURNING. */
export async function runUpdate(
  body: SyntaxNode,
  context: StatementContext,
): Promise<QueryResult> {
  const table = targetTable(body, context);
  const changed: RowValues[] = [];
  for (const {row, values} of await lockMatchingRows(body, table, context)) {
    const newValues = applyAssignments(
      nodesOf(body, 'targetList'),
      table,
      values,
      context,
    );
    await context.transaction.changeRow(table, row, newValues);
    changed.push(newValues);
  }
  return buildResult(body, table, changed, `UPDATE ${changed.length}`, context);
}

/** Runs DELETE; supports RETURNING. */
export async function runDelete(
  body: SyntaxNode,
  context: StatementContext,
): Promise<QueryResult> {
  const table = targetTable(body, context);
  const removed: RowValues[] = [];
  for (const {row, values} of await lockMatchingRows(body, table, context)) {
    await context.transaction.changeRow(table, row, undefined);
    removed.push(values);
  }
  return buildResult(body, table, removed, `DELETE ${removed.length}`, context);
}

interface MatchedRow {
  readonly row: Row;
  readonly values: RowValues;
}

function targetTable(body: SyntaxNode, context: StatementContext): Table {
  const relation = body['relation'] as SyntaxNode;
  return context.database.table(String(relation['relname']));
}

async function lockMatchingRows(
  body: SyntaxNode,
  table: Table,
  context: StatementContext,
): Promise<readonly MatchedRow[]> {
  const condition = body['whereClause'] as SyntaxNode | undefined;
  const locked: MatchedRow[] = [];
  for (const row of matchingRows(table, condition, context)) {
    const values = await context.transaction.lockRow(table, row);
    if (values === undefined) continue;
    // The row may have changed during the wait for its lock.
    if (isTrue(condition, scopeOf(values, context))) locked.push({row, values});
  }
  return locked;
}

function buildResult(
  body: SyntaxNode,
  table: Table,
  rows: readonly RowValues[],
  tag: string,
  context: StatementContext,
): QueryResult {
  if (!('returningClause' in body)) return tagOnlyResult(tag);
  return {...project(body, table, rows, context), tag};
}

function newRows(
  body: SyntaxNode,
  table: Table,
  context: StatementContext,
): readonly RowValues[] {
  const select = fieldOf(body['selectStmt'] as SyntaxNode, 'SelectStmt');
  const lists = nodesOf(select, 'valuesLists');
  if (lists.length === 0) throw notSupported('INSERT without VALUES');
  const columns = targetColumns(body, table);
  return lists.map(list => {
    const items = nodesOf(fieldOf(list, 'List'), 'items');
    const row: Record<string, Value> = defaultValues(table);
    items.forEach((item, index) => {
      const column = columns[index];
      if (column === undefined) throw notSupported('more values than columns');
      row[column.name] = toColumnValue(item, column, {}, context);
    });
    return row;
  });
}

function targetColumns(
  body: SyntaxNode,
  table: Table,
): readonly ColumnDefinition[] {
  const columnNodes = nodesOf(body, 'cols');
  if (columnNodes.length === 0) return table.definition.columns;
  return columnNodes.map(node => columnOf(table, fieldOf(node, 'ResTarget')));
}

function columnOf(table: Table, target: SyntaxNode): ColumnDefinition {
  const name = String(target['name']);
  table.requireColumn(name);
  return table.definition.columns.find(
    column => column.name === name,
  ) as ColumnDefinition;
}

function defaultValues(table: Table): Record<string, Value> {
  const row: Record<string, Value> = {};
  for (const column of table.definition.columns) {
    const text = column.defaultText ?? null;
    row[column.name] = text !== null && column.integer ? Number(text) : text;
  }
  return row;
}

function toColumnValue(
  node: SyntaxNode,
  column: ColumnDefinition,
  row: RowValues,
  context: StatementContext,
): Value {
  if (isNode(node, 'SetToDefault')) return column.defaultText ?? null;
  const value = evaluate(node, scopeOf(row, context));
  if (value === null) return null;
  if (column.integer) return Number(value);
  return String(value);
}

async function insertRow(
  body: SyntaxNode,
  table: Table,
  values: RowValues,
  context: StatementContext,
): Promise<RowValues | undefined> {
  const row = await context.transaction.insert(table, values);
  if (row !== undefined) return values;
  const onConflict = fieldOf(body, 'onConflictClause');
  if (onConflict['action'] === 'ONCONFLICT_NOTHING') return undefined;
  if (onConflict['action'] !== 'ONCONFLICT_UPDATE') {
    throw uniqueViolationError(table);
  }
  return updateConflicting(onConflict, table, values, context);
}

async function updateConflicting(
  onConflict: SyntaxNode,
  table: Table,
  values: RowValues,
  context: StatementContext,
): Promise<RowValues | undefined> {
  const {transaction} = context;
  const row = await transaction.findConflict(table, values, undefined);
  const currentValues = row && (await transaction.lockRow(table, row));
  if (row === undefined || currentValues === undefined) return undefined;
  const targets = nodesOf(onConflict, 'targetList');
  const newValues = applyAssignments(targets, table, currentValues, context);
  await transaction.changeRow(table, row, newValues);
  return newValues;
}

function applyAssignments(
  targets: readonly SyntaxNode[],
  table: Table,
  currentValues: RowValues,
  context: StatementContext,
): RowValues {
  const changed: Record<string, Value> = {...currentValues};
  for (const node of targets) {
    const target = fieldOf(node, 'ResTarget');
    const column = columnOf(table, target);
    const expression = target['val'] as SyntaxNode;
    changed[column.name] = toColumnValue(
      expression,
      column,
      currentValues,
      context,
    );
  }
  return changed;
}
