import {fieldOf, isNode, stringOf, SyntaxNode} from '@apricotlock/sql';
import {ColumnDefinition, TableDefinition} from './change.js';
import {evaluate, nodesOf} from './expression.js';
import {valueToText} from './value.js';

const INTEGER_TYPES: ReadonlySet<string> = new Set([
  'int2',
  'int4',
  'int8',
  'numeric',
  'float8',
]);

/** Reads the table definition of a CREATE TABLE statement. */
export function readTableDefinition(body: SyntaxNode): TableDefinition {
  const elements = nodesOf(body, 'tableElts');
  const columns = elements
    .filter(element => isNode(element, 'ColumnDef'))
    .map(element => fieldOf(element, 'ColumnDef'));
  const constraints = elements
    .filter(element => isNode(element, 'Constraint'))
    .map(element => fieldOf(element, 'Constraint'));
  return {
    name: String((body['relation'] as SyntaxNode)['relname']),
    columns: columns.map(readColumn),
    uniqueKeys: [
      ...columns.filter(isUniqueColumn).map(column => [nameOf(column)]),
      ...constraints.filter(isUniqueConstraint).map(keyColumns),
    ],
  };
}

function readColumn(column: SyntaxNode): ColumnDefinition {
  const types = nodesOf(fieldOf(column, 'typeName'), 'names').map(stringOf);
  const integer = INTEGER_TYPES.has(types[types.length - 1] ?? '');
  const definition = {name: nameOf(column), integer};
  const defaultText = readDefault(column);
  return defaultText === null ? definition : {...definition, defaultText};
}

function readDefault(column: SyntaxNode): string | null {
  const constraint = constraintsOf(column).find(
    candidate => candidate['contype'] === 'CONSTR_DEFAULT',
  );
  const expression = constraint?.['raw_expr'] as SyntaxNode | undefined;
  if (expression === undefined) return null;
  const scope = {row: {}, parameters: [], call: () => null};
  return valueToText(evaluate(expression, scope));
}

function nameOf(column: SyntaxNode): string {
  return String(column['colname']);
}

function constraintsOf(column: SyntaxNode): readonly SyntaxNode[] {
  const nodes = nodesOf(column, 'constraints');
  return nodes.map(node => fieldOf(node, 'Constraint'));
}

function isUniqueColumn(column: SyntaxNode): boolean {
  return constraintsOf(column).some(isUniqueConstraint);
}

function isUniqueConstraint(constraint: SyntaxNode): boolean {
  const type = constraint['contype'];
  return type === 'CONSTR_PRIMARY' || type === 'CONSTR_UNIQUE';
}

function keyColumns(constraint: SyntaxNode): readonly string[] {
  return nodesOf(constraint, 'keys').map(stringOf);
}
