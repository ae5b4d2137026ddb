import {SqlState} from '@apricotlock/wire';
import {fieldOf, stringOf, SyntaxNode} from '@apricotlock/sql';
import {SqlError} from './sql_error.js';
import {compareValues, RowValues, Value, valueToText} from './value.js';

/** What an expression may refer to. */
export interface Scope {
  readonly row: RowValues;
  readonly parameters: readonly Value[];
  /** Calls a function that is not an aggregate. */
  readonly call: (name: string, values: readonly Value[]) => Value;
}

/** The value of an expression for one row. */
export function evaluate(node: SyntaxNode, scope: Scope): Value {
  const [type] = Object.keys(node);
  const body = fieldOf(node, type ?? '');
  switch (type) {
    case 'A_Const':
      return constant(body);
    case 'ParamRef':
      return scope.parameters[Number(body['number']) - 1] ?? null;
    case 'ColumnRef':
      return columnValue(columnName(node), scope);
    case 'TypeCast':
      return cast(body, scope);
    case 'A_Expr':
      return operation(body, scope);
    case 'BoolExpr':
      return logic(body, scope);
    case 'NullTest': {
      const isNull = evaluate(body['arg'] as SyntaxNode, scope) === null;
      return body['nulltesttype'] === 'IS_NULL' ? isNull : !isNull;
    }
    case 'FuncCall':
      return scope.call(functionName(node), callValues(body, scope));
    case 'CoalesceExpr': {
      const values = nodesOf(body, 'args').map(arg => evaluate(arg, scope));
      return values.find(value => value !== null) ?? null;
    }
    default:
      throw notSupported(type ?? 'an empty expression');
  }
}

/** Whether a condition holds; no condition holds always. */
export function holds(node: SyntaxNode | undefined, scope: Scope): boolean {
  return node === undefined || evaluate(node, scope) === true;
}

/** The list of nodes under `name`. */
export function nodesOf(node: SyntaxNode, name: string): readonly SyntaxNode[] {
  return (node[name] as readonly SyntaxNode[] | undefined) ?? [];
}

/** The last part of a function's name. */
export function functionName(node: SyntaxNode): string {
  const names = nodesOf(fieldOf(node, 'FuncCall'), 'funcname').map(stringOf);
  return names[names.length - 1] ?? '';
}

/** The last part of a column's name, or `*`. */
export function columnName(node: SyntaxNode): string {
  const fields = nodesOf(fieldOf(node, 'ColumnRef'), 'fields');
  const last = fields[fields.length - 1];
  if (last === undefined || 'A_Star' in last) return '*';
  return stringOf(last);
}

/** The error for SQL that the stand-in does not know. */
export function notSupported(what: string): SqlError {
  return SqlError.of(
    SqlState.FEATURE_NOT_SUPPORTED,
    `the stand-in does not know ${what}`,
  );
}

function callValues(body: SyntaxNode, scope: Scope): readonly Value[] {
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

function constant(body: SyntaxNode): Value {
  if (body['isnull'] === true) return null;
  if ('ival' in body) return Number(fieldOf(body, 'ival')['ival'] ?? 0);
  if ('fval' in body) return Number(fieldOf(body, 'fval')['fval']);
  if ('boolval' in body) return fieldOf(body, 'boolval')['boolval'] === true;
  return String(fieldOf(body, 'sval')['sval'] ?? '');
}

function cast(body: SyntaxNode, scope: Scope): Value {
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

function operation(body: SyntaxNode, scope: Scope): Value {
  const operator = stringOf(nodesOf(body, 'name')[0] as SyntaxNode);
  const left = evaluate(body['lexpr'] as SyntaxNode, scope);
  if (body['kind'] === 'AEXPR_IN') {
    return membership(body, left, operator, scope);
  }
  if (body['kind'] !== 'AEXPR_OP') throw notSupported(String(body['kind']));
  const right = evaluate(body['rexpr'] as SyntaxNode, scope);
  if (left === null || right === null) return null;
  return apply(operator, left, right);
}

function membership(
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

function apply(operator: string, left: Value, right: Value): Value {
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

function logic(body: SyntaxNode, scope: Scope): Value {
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
