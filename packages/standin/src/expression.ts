import {SqlState} from '@apricotlock/wire';
import {fieldOf, stringOf, SyntaxNode} from '@apricotlock/sql';
import {SqlError} from './sql_error.js';
import {compareValues, RowValues, Value, valueToText} from './value.js';

/** The values and functions that an expression may refer to. */
export interface Scope {
  readonly row: RowValues;
  readonly parameters: readonly Value[];
  /** Calls a function that is not an aggregate. */
  readonly call: (name: string, values: readonly Value[]) => Value;
}

/** Evaluates an expression for one row. Throws SqlError if it is invalid. */
export function evaluate(node: SyntaxNode, scope: Scope): Value {
  const [type] = Object.keys(node);
  const body = fieldOf(node, type ?? '');
  switch (type) {
    case 'A_Const':
      return constantValue(body);
    case 'ParamRef':
      return scope.parameters[Number(body['number']) - 1] ?? null;
    case 'ColumnRef':
      return columnValue(columnName(node), scope);
    case 'TypeCast':
      return castValue(body, scope);
    case 'A_Expr':
      return evaluateOperation(body, scope);
    case 'BoolExpr':
      return evaluateBoolean(body, scope);
    case 'NullTest': {
      const isNull = evaluate(body['arg'] as SyntaxNode, scope) === null;
      return body['nulltesttype'] === 'IS_NULL' ? isNull : !isNull;
    }
    case 'FuncCall':
      return scope.call(functionName(node), argumentValues(body, scope));
    case 'CoalesceExpr': {
      const values = nodesOf(body, 'args').map(arg => evaluate(arg, scope));
      return values.find(value => value !== null) ?? null;
    }
    default:
      throw notSupported(type ?? 'an empty expression');
  }
}

/** Returns whether a condition is true; an absent condition always is. */
export function isTrue(node: SyntaxNode | undefined, scope: Scope): boolean {
  return node === undefined || evaluate(node, scope) === true;
}

/** Returns the list of nodes under `name`; empty if there is none. */
export function nodesOf(node: SyntaxNode, name: string): readonly SyntaxNode[] {
  return (node[name] as readonly SyntaxNode[] | undefined) ?? [];
}

/** Returns the last part of a function's qualified name. */
export function functionName(node: SyntaxNode): string {
  const names = nodesOf(fieldOf(node, 'FuncCall'), 'funcname').map(stringOf);
  return names[names.length - 1] ?? '';
}

/** Returns the last part of a column's qualified name, or `*`. */
export function columnName(node: SyntaxNode): string {
  const fields = nodesOf(fieldOf(node, 'ColumnRef'), 'fields');
  const last = fields[fields.length - 1];
  if (last === undefined || 'A_Star' in last) return '*';
  return stringOf(last);
}

/** Returns the error for SQL that the stand-in does not support. */
export function notSupported(feature: string): SqlError {
  return SqlError.of(
    SqlState.FEATURE_NOT_SUPPORTED,
    `the stand-in does not support ${feature}`,
  );
}

function argumentValues(body: SyntaxNode, scope: Scope): readonly Value[] {
  return nodesOf(body, 'args').map(arg => evaluate(arg, scope));
}

function columnValue(name: string, scope: Scope): Value {
  const value = scope.row[name];
  if (value !== undefined) return value;
  throw SqlError.of(
    SqlState.UNDEFINED_COLUMN,
    `column "${name}" does not exist`,
  );
}

function constantValue(body: SyntaxNode): Value {
  if (body['isnull'] === true) return null;
  if ('ival' in body) return Number(fieldOf(body, 'ival')['ival'] ?? 0);
  if ('fval' in body) return Number(fieldOf(body, 'fval')['fval']);
  if ('boolval' in body) return fieldOf(body, 'boolval')['boolval'] === true;
  return String(fieldOf(body, 'sval')['sval'] ?? '');
}

function castValue(body: SyntaxNode, scope: Scope): Value {
  const value = evaluate(body['arg'] as SyntaxNode, scope);
  const names = nodesOf(fieldOf(body, 'typeName'), 'names').map(stringOf);
  const type = names[names.length - 1] ?? '';
  if (value === null) return null;
  if (/^(int|bigint|integer|numeric|float)/.test(type)) return Number(value);
  if (type === 'bool') {
    return value === true || value === 't' || value === 'true';
  }
  return valueToText(value);
}

function evaluateOperation(body: SyntaxNode, scope: Scope): Value {
  const operator = stringOf(nodesOf(body, 'name')[0] as SyntaxNode);
  const left = evaluate(body['lexpr'] as SyntaxNode, scope);
  if (body['kind'] === 'AEXPR_IN') {
    return evaluateInList(body, left, operator, scope);
  }
  if (body['kind'] !== 'AEXPR_OP') throw notSupported(String(body['kind']));
  const right = evaluate(body['rexpr'] as SyntaxNode, scope);
  if (left === null || right === null) return null;
  return applyOperator(operator, left, right);
}

function evaluateInList(
  body: SyntaxNode,
  left: Value,
  operator: string,
  scope: Scope,
): Value {
  const list = nodesOf(fieldOf(body['rexpr'] as SyntaxNode, 'List'), 'items');
  const found = list.some(
    item => compareValues(left, evaluate(item, scope)) === 0,
  );
  return operator === '=' ? found : !found;
}

function applyOperator(operator: string, left: Value, right: Value): Value {
  const order = compareValues(left, right);
  switch (operator) {
    case '=':
      return order === 0;
    case '<>':
      return order !== 0;
    case '<':
      return order < 0;
    case '<=':
      return order <= 0;
    case '>':
      return order > 0;
    case '>=':
      return order >= 0;
    case '+':
      return Number(left) + Number(right);
    case '-':
      return Number(left) - Number(right);
    case '*':
      return Number(left) * Number(right);
    case '||':
      return `${valueToText(left)}${valueToText(right)}`;
    default:
      throw notSupported(`the operator ${operator}`);
  }
}

function evaluateBoolean(body: SyntaxNode, scope: Scope): Value {
  const values = nodesOf(body, 'args').map(arg => evaluate(arg, scope));
  switch (body['boolop']) {
    case 'AND_EXPR':
      return values.every(value => value === true);
    case 'OR_EXPR':
      return values.some(value => value === true);
    default:
      return values[0] === null ? null : values[0] !== true;
  }
}
