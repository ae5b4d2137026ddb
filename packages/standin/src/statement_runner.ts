import {fieldOf, isNode, stringOf, SyntaxNode} from '@apricotlock/sql';
import {SqlState} from '@apricotlock/wire';
import {QueryResult, tagOnlyResult} from './query_result.js';
import {runDelete, runInsert, runUpdate} from './data_change.js';
import {nodesOf, notSupported} from './expression.js';
import {runSelect, StatementContext} from './select.js';
import {SqlError} from './sql_error.js';
import {Table} from './table.js';
import {readTableDefinition} from './table_definition.js';

const READ_ONLY_STATEMENTS: ReadonlySet<string> = new Set([
  'SelectStmt',
  'VariableShowStmt',
  'VariableSetStmt',
  'DiscardStmt',
]);

/** Runs any statement but transaction control. Throws SqlError if it fails. */
export async function runStatement(
  statement: SyntaxNode,
  context: StatementContext,
): Promise<QueryResult> {
  const [type] = Object.keys(statement);
  const body = fieldOf(statement, type ?? '');
  refuseWriteIfReadOnly(type ?? '', body, context);
  switch (type) {
    case 'SelectStmt':
      return runSelect(body, context);
    case 'InsertStmt':
      return runInsert(body, context);
    case 'UpdateStmt':
      return runUpdate(body, context);
    case 'DeleteStmt':
      return runDelete(body, context);
    case 'CreateStmt':
      return createTable(body, context);
    case 'DropStmt':
      return dropTables(body, context);
    case 'VariableSetStmt':
      return tagOnlyResult('SET');
    case 'DiscardStmt':
      return tagOnlyResult('DISCARD ALL');
    default:
      throw notSupported(type ?? 'an empty statement');
  }
}

function refuseWriteIfReadOnly(
  type: string,
  body: SyntaxNode,
  context: StatementContext,
): void {
  if (!context.transaction.readOnly) return;
  if (READ_ONLY_STATEMENTS.has(type) && !('lockingClause' in body)) return;
  throw SqlError.of(
    SqlState.READ_ONLY_TRANSACTION,
    'cannot execute a write in a read-only transaction',
  );
}

function createTable(body: SyntaxNode, context: StatementContext): QueryResult {
  const definition = readTableDefinition(body);
  const {database, transaction} = context;
  if (!database.hasTable(definition.name)) {
    database.createTable(Table.create(definition));
    transaction.recordDefinition({kind: 'createTable', definition});
    return tagOnlyResult('CREATE TABLE');
  }
  if (body['if_not_exists'] === true) return tagOnlyResult('CREATE TABLE');
  throw SqlError.of(
    SqlState.DUPLICATE_TABLE,
    `relation "${definition.name}" already exists`,
  );
}

function dropTables(body: SyntaxNode, context: StatementContext): QueryResult {
  for (const object of nodesOf(body, 'objects')) {
    const parts = nodesOf(fieldOf(object, 'List'), 'items').map(stringOf);
    const table = parts[parts.length - 1] ?? '';
    if (!context.database.hasTable(table)) {
      if (body['missing_ok'] === true) continue;
      throw SqlError.of(
        SqlState.UNDEFINED_TABLE,
        `table "${table}" does not exist`,
      );
    }
    context.database.dropTable(table);
    context.transaction.recordDefinition({kind: 'dropTable', table});
  }
  return tagOnlyResult('DROP TABLE');
}

/** Returns whether a statement returns rows, which Describe reports. */
export function returnsRows(statement: SyntaxNode): boolean {
  if (isNode(statement, 'SelectStmt')) return true;
  const [type] = Object.keys(statement);
  return 'returningClause' in fieldOf(statement, type ?? '');
}
