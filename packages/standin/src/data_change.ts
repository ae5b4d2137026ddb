import {fieldOf, isNode, SyntaxNode} from '@apricotlock/sql';
import {Answer, tagOnly} from './answer.js';
import {ColumnDefinition} from './change.js';
import {evaluate, holds, nodesOf, notSupported} from './expression.js';
import {matchingRows, project, RunContext, scopeOf} from './select.js';
import {Row, Table} from './table.js';
import {uniqueViolation} from './transaction.js';
import {RowValues, Value} from './value.js';

/** Runs INSERT ... VALUES, with ON CONFLICT and RETURNING. */
export async function runInsert(
  body: SyntaxNode,
  context: RunContext,
): Promise<Answer> {
  const table = targetTable(body, context);
  const stored: RowValues[] = [];
  for (const values of newRows(body, table, context)) {
    const row = await insertRow(body, table, values, context);
    if (row !== undefined) stored.push(row);
  }
  return answer(body, table, stored, `INSERT 0 ${stored.length}`, context);
}

/** Runs UPDATE, with RETURNING. */
export async function runUpdate(
  body: SyntaxNode,
  context: RunContext,
): Promise<Answer> {
  const table = targetTable(body, context);
  const changed: RowValues[] = [];
  for (const {row, values} of await heldRows(body, table, context)) {
    const wanted = assign(nodesOf(body, 'targetList'), table, values, context);
    await context.transaction.change(table, row, wanted);
    changed.push(wanted);
  }
  return answer(body, table, changed, `UPDATE ${changed.length}`, context);
}

/** Runs DELETE, with RETURNING. */
export async function runDelete(
  body: SyntaxNode,
  context: RunContext,
): Promise<Answer> {
  const table = targetTable(body, context);
  const removed: RowValues[] = [];
  for (const {row, values} of await heldRows(body, table, context)) {
    await context.transaction.change(table, row, undefined);
    removed.push(values);
  }
  return answer(body, table, removed, `DELETE ${removed.length}`, context);
}

interface HeldValues {
  readonly row: Row;
  readonly values: RowValues;
}

function targetTable(body: SyntaxNode, context: RunContext): Table {
  const relation = body['relation'] as SyntaxNode;
  return context.database.table(String(relation['relname']));
}

async function heldRows(
  body: SyntaxNode,
  table: Table,
  context: RunContext,
): Promise<readonly HeldValues[]> {
  const condition = body['whereClause'] as SyntaxNode | undefined;
  const held: HeldValues[] = [];
  for (const row of matchingRows(table, condition, context)) {
    const values = await context.transaction.hold(table, row);
    if (values === undefined) continue;
    // A row that was waited for may have changed meanwhile.
    if (holds(condition, scopeOf(values, context))) held.push({row, values});
  }
  return held;
}

function answer(
  body: SyntaxNode,
  table: Table,
  rows: readonly RowValues[],
  tag: string,
  context: RunContext,
): Answer {
  if (!('returningClause' in body)) return tagOnly(tag);
  return {...project(body, table, rows, context), tag};
}

function newRows(
  body: SyntaxNode,
  table: Table,
  context: RunContext,
): readonly RowValues[] {
  const select = fieldOf(body['selectStmt'] as SyntaxNode, 'SelectStmt');
  const lists = nodesOf(select, 'valuesLists');
  if (lists.length === 0) throw notSupported('INSERT without VALUES');
  const columns = insertColumns(body, table);
  return lists.map(list => {
    const items = nodesOf(fieldOf(list, 'List'), 'items');
    const row: Record<string, Value> = defaults(table);
    items.forEach((item, index) => {
      const column = columns[index];
      if (column === undefined) throw notSupported('more values than columns');
      row[column.name] = stored(item, column, {}, context);
    });
    return row;
  });
}

function insertColumns(
  body: SyntaxNode,
  table: Table,
): readonly ColumnDefinition[] {
  const named = nodesOf(body, 'cols');
  if (named.length === 0) return table.definition.columns;
  return named.map(node => columnOf(table, fieldOf(node, 'ResTarget')));
}

function columnOf(table: Table, target: SyntaxNode): ColumnDefinition {
  const name = String(target['name']);
  table.requireColumn(name);
  return table.definition.columns.find(
    column => column.name === name,
  ) as ColumnDefinition;
}

function defaults(table: Table): Record<string, Value> {
  const row: Record<string, Value> = {};
  for (const column of table.definition.columns) {
    const text = column.defaultText ?? null;
    row[column.name] = text !== null && column.integer ? Number(text) : text;
  }
  return row;
}

function stored(
  node: SyntaxNode,
  column: ColumnDefinition,
  row: RowValues,
  context: RunContext,
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
  context: RunContext,
): Promise<RowValues | undefined> {
  const row = await context.transaction.insert(table, values);
  if (row !== undefined) return values;
  const onConflict = fieldOf(body, 'onConflictClause');
  if (onConflict['action'] === 'ONCONFLICT_NOTHING') return undefined;
  if (onConflict['action'] !== 'ONCONFLICT_UPDATE') {
    throw uniqueViolation(table);
  }
  return updateConflicting(onConflict, table, values, context);
}

async function updateConflicting(
  onConflict: SyntaxNode,
  table: Table,
  values: RowValues,
  context: RunContext,
): Promise<RowValues | undefined> {
  const {transaction} = context;
  const row = await transaction.conflict(table, values, undefined);
  const old = row && (await transaction.hold(table, row));
  if (row === undefined || old === undefined) return undefined;
  const targets = nodesOf(onConflict, 'targetList');
  const wanted = assign(targets, table, old, context);
  await transaction.change(table, row, wanted);
  return wanted;
}

function assign(
  targets: readonly SyntaxNode[],
  table: Table,
  old: RowValues,
  context: RunContext,
): RowValues {
  const changed: Record<string, Value> = {...old};
  for (const node of targets) {
    const target = fieldOf(node, 'ResTarget');
    const column = columnOf(table, target);
    const expression = target['val'] as SyntaxNode;
    changed[column.name] = stored(expression, column, old, context);
  }
  return changed;
}
