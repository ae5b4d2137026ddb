import {fieldOf, isNode, SyntaxNode} from '@apricotlock/sql';
import {ColumnDescription} from '@apricotlock/wire';
import {QueryResult} from './query_result.js';
import {Database} from './database.js';
import {
  columnName,
  evaluate,
  functionName,
  isTrue,
  nodesOf,
  notSupported,
  Scope,
} from './expression.js';
import {Row, Table} from './table.js';
import {Transaction} from './transaction.js';
import {compareValues, RowValues, TypeOid, Value} from './value.js';

const AGGREGATES: ReadonlySet<string> = new Set(['count', 'sum', 'max', 'min']);
const EMPTY_ROW: RowValues = {};

/** The execution context of a statement. */
export interface StatementContext {
  readonly database: Database;
  readonly transaction: Transaction;
  readonly parameters: readonly Value[];
  readonly call: Scope['call'];
}

/** Runs a SELECT from one table or from none. */
export async function runSelect(
  body: SyntaxNode,
  context: StatementContext,
): Promise<QueryResult> {
  const table = sourceTable(body, context.database);
  const rows =
    table === undefined ? [EMPTY_ROW] : await rowsOf(body, table, context);
  const ordered = sortRows(rows, body, context);
  const targets = expandTargets(body, table);
  const aggregated = targets.some(isAggregate);
  const values = aggregated
    ? [targets.map(target => aggregateValue(target, ordered, context))]
    : ordered.map(row =>
        targets.map(target => targetValue(target, row, context)),
      );
  const limitedRows = applyLimit(values, body, context);
  return {
    columns: targets.map(target => describeTarget(target, table)),
    rows: limitedRows,
    tag: `SELECT ${limitedRows.length}`,
  };
}

/**
 * Returns the visible rows of `table` that satisfy a condition, looked up by a
 * unique key where the condition allows it.
 */
export function matchingRows(
  table: Table,
  condition: SyntaxNode | undefined,
  context: StatementContext,
): readonly Row[] {
  const equalValues = equalityValues(condition, context);
  const candidates = table.findCandidates(equalValues) ?? [...table.rows];
  return candidates.filter(row => {
    const values = context.transaction.visibleValues(row);
    return values !== undefined && isTrue(condition, scopeOf(values, context));
  });
}

/** Returns the scope of a statement's expressions for one row. */
export function scopeOf(row: RowValues, context: StatementContext): Scope {
  return {row, parameters: context.parameters, call: context.call};
}

/** Returns the columns and rows of a RETURNING clause or a target list. */
export function project(
  body: SyntaxNode,
  table: Table,
  rows: readonly RowValues[],
  context: StatementContext,
): Pick<QueryResult, 'columns' | 'rows'> {
  const targets = expandTargets(body, table);
  return {
    columns: targets.map(target => describeTarget(target, table)),
    rows: rows.map(row =>
      targets.map(target => targetValue(target, row, context)),
    ),
  };
}

interface Target {
  readonly name: string;
  readonly expression: SyntaxNode;
}

function sourceTable(body: SyntaxNode, database: Database): Table | undefined {
  const sources = nodesOf(body, 'fromClause');
  if (sources.length === 0) return undefined;
  const [source] = sources;
  if (
    sources.length > 1 ||
    source === undefined ||
    !isNode(source, 'RangeVar')
  ) {
    throw notSupported('joins');
  }
  return database.table(String(fieldOf(source, 'RangeVar')['relname']));
}

async function rowsOf(
  body: SyntaxNode,
  table: Table,
  context: StatementContext,
): Promise<readonly RowValues[]> {
  const condition = body['whereClause'] as SyntaxNode | undefined;
  const rows = matchingRows(table, condition, context);
  const locking = 'lockingClause' in body;
  const visibleRows: RowValues[] = [];
  for (const row of rows) {
    const values = locking
      ? await context.transaction.lockRow(table, row)
      : context.transaction.visibleValues(row);
    if (values === undefined) continue;
    // The row may have changed during the wait for its lock.
    if (locking && !isTrue(condition, scopeOf(values, context))) continue;
    visibleRows.push(values);
  }
  return visibleRows;
}

function equalityValues(
  condition: SyntaxNode | undefined,
  context: StatementContext,
): RowValues {
  if (condition === undefined) return EMPTY_ROW;
  if (isNode(condition, 'BoolExpr')) {
    const body = fieldOf(condition, 'BoolExpr');
    if (body['boolop'] !== 'AND_EXPR') return EMPTY_ROW;
    const parts = nodesOf(body, 'args').map(arg =>
      equalityValues(arg, context),
    );
    return Object.assign({}, ...parts) as RowValues;
  }
  const body = fieldOf(condition, 'A_Expr');
  const left = body['lexpr'] as SyntaxNode | undefined;
  const right = body['rexpr'] as SyntaxNode | undefined;
  if (left === undefined || right === undefined) return EMPTY_ROW;
  const operators = nodesOf(body, 'name');
  const isEquality = JSON.stringify(operators).includes('"="');
  const isSimple = body['kind'] === 'AEXPR_OP' && isEquality;
  if (!isSimple || !isNode(left, 'ColumnRef')) return EMPTY_ROW;
  if (!isNode(right, 'ParamRef') && !isNode(right, 'A_Const')) return EMPTY_ROW;
  const value = evaluate(right, scopeOf(EMPTY_ROW, context));
  return {[columnName(left)]: value};
}

function expandTargets(
  body: SyntaxNode,
  table: Table | undefined,
): readonly Target[] {
  const list = nodesOf(body, 'targetList');
  const returning = nodesOf(fieldOf(body, 'returningClause'), 'exprs');
  const targetNodes = 'returningClause' in body ? returning : list;
  return targetNodes.flatMap(node => {
    const target = fieldOf(node, 'ResTarget');
    const expression = target['val'] as SyntaxNode;
    if (isNode(expression, 'ColumnRef') && columnName(expression) === '*') {
      return allColumns(table);
    }
    const name = String(target['name'] ?? defaultName(expression));
    return [{name, expression}];
  });
}

function allColumns(table: Table | undefined): readonly Target[] {
  const columns = table?.definition.columns ?? [];
  return columns.map(column => ({
    name: column.name,
    expression: {ColumnRef: {fields: [{String: {sval: column.name}}]}},
  }));
}

function defaultName(expression: SyntaxNode): string {
  if (isNode(expression, 'ColumnRef')) return columnName(expression);
  if (isNode(expression, 'FuncCall')) return functionName(expression);
  return '?column?';
}

function isAggregate(target: Target): boolean {
  return (
    isNode(target.expression, 'FuncCall') &&
    AGGREGATES.has(functionName(target.expression))
  );
}

function aggregateValue(
  target: Target,
  rows: readonly RowValues[],
  context: StatementContext,
): Value {
  if (!isAggregate(target)) throw notSupported('GROUP BY');
  const body = fieldOf(target.expression, 'FuncCall');
  const [argument] = nodesOf(body, 'args');
  const values = rows
    .map(row =>
      argument === undefined ? 1 : evaluate(argument, scopeOf(row, context)),
    )
    .filter(value => value !== null);
  return reduceValues(functionName(target.expression), values);
}

function reduceValues(name: string, values: readonly Value[]): Value {
  if (name === 'count') return values.length;
  if (values.length === 0) return null;
  if (name === 'sum') {
    return values.reduce<number>((sum, value) => sum + Number(value), 0);
  }
  const sign = name === 'max' ? 1 : -1;
  return values.reduce((best, value) =>
    compareValues(value, best) * sign > 0 ? value : best,
  );
}

function targetValue(
  target: Target,
  row: RowValues,
  context: StatementContext,
): Value {
  return evaluate(target.expression, scopeOf(row, context));
}

function describeTarget(
  target: Target,
  table: Table | undefined,
): ColumnDescription {
  const {expression, name} = target;
  if (isAggregate(target)) return {name, typeOid: TypeOid.BIGINT};
  if (isNode(expression, 'ColumnRef')) {
    const columns = table?.definition.columns ?? [];
    const column = columns.find(other => other.name === columnName(expression));
    return {name, typeOid: column?.integer ? TypeOid.INTEGER : TypeOid.TEXT};
  }
  const constant = fieldOf(expression, 'A_Const');
  if ('ival' in constant) return {name, typeOid: TypeOid.INTEGER};
  return {name, typeOid: TypeOid.TEXT};
}

function sortRows(
  rows: readonly RowValues[],
  body: SyntaxNode,
  context: StatementContext,
): readonly RowValues[] {
  const keys = nodesOf(body, 'sortClause').map(node => fieldOf(node, 'SortBy'));
  if (keys.length === 0) return rows;
  return [...rows].sort((left, right) => {
    for (const key of keys) {
      const node = key['node'] as SyntaxNode;
      const leftValue = evaluate(node, scopeOf(left, context));
      const rightValue = evaluate(node, scopeOf(right, context));
      const sign = key['sortby_dir'] === 'SORTBY_DESC' ? -1 : 1;
      const compared = compareValues(leftValue, rightValue) * sign;
      if (compared !== 0) return compared;
    }
    return 0;
  });
}

function applyLimit<T>(
  rows: readonly T[],
  body: SyntaxNode,
  context: StatementContext,
): readonly T[] {
  const limit = body['limitCount'] as SyntaxNode | undefined;
  if (limit === undefined) return rows;
  return rows.slice(0, Number(evaluate(limit, scopeOf(EMPTY_ROW, context))));
}
