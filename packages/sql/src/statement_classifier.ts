import {loadModule, parseSync} from 'libpg-query';
import {LRUCache} from 'lru-cache';
import {Statement} from './statement.js';
import {
  fieldOf,
  isNode,
  someNode,
  stringOf,
  SyntaxNode,
} from './syntax_tree.js';
import {READ_ONLY_FUNCTIONS} from './read_only_functions.js';

const MAXIMUM_CACHED_QUERIES = 5_000;
const MAXIMUM_CACHED_CHARACTERS = 4_000_000;
const PROXY_SETTING_PREFIX = 'apricotlock.';
const SETTING_NAME_PATTERN = /^[a-z_][a-z0-9_.]{0,62}$/;
const SUPPORTED_SET_KINDS: ReadonlySet<unknown> = new Set([
  'VAR_SET_VALUE',
  'VAR_SET_DEFAULT',
  'VAR_RESET',
]);
/** Settings whose SHOW only the primary may answer. */
const PRIMARY_ONLY_SETTINGS: ReadonlySet<string> = new Set([
  'in_hot_standby',
  'transaction_read_only',
]);

/** The classified statements of one query text, in order. */
export type ClassifiedQuery =
  | {readonly kind: 'parsed'; readonly statements: readonly Statement[]}
  /** Rejected by the parser; only the database can tell whether it is valid. */
  | {readonly kind: 'unparsed'};

/** Classifies query texts, and caches the results. */
export class StatementClassifier {
  private readonly cache = new LRUCache<string, ClassifiedQuery>({
    max: MAXIMUM_CACHED_QUERIES,
    maxSize: MAXIMUM_CACHED_CHARACTERS,
    sizeCalculation: (_query, text) => text.length + 1,
  });

  private constructor() {}

  /** Loads the parser and creates a classifier. */
  static async create(): Promise<StatementClassifier> {
    await loadModule();
    return new StatementClassifier();
  }

  /** Returns the classified statements of a query text. */
  classify(text: string): ClassifiedQuery {
    const cached = this.cache.get(text);
    if (cached !== undefined) return cached;
    const classified = classifyText(text);
    this.cache.set(text, classified);
    return classified;
  }
}

function classifyText(text: string): ClassifiedQuery {
  // The parser rejects a blank text; PostgreSQL accepts it.
  if (text.trim() === '') return {kind: 'parsed', statements: []};
  try {
    const tree = parseSync(text) as unknown as SyntaxNode;
    const statements = (tree['stmts'] as SyntaxNode[] | undefined) ?? [];
    return {
      kind: 'parsed',
      statements: statements.map(raw =>
        classifyStatement(raw['stmt'] as SyntaxNode),
      ),
    };
  } catch {
    return {kind: 'unparsed'};
  }
}

function classifyStatement(statement: SyntaxNode): Statement {
  const [type] = Object.keys(statement);
  const body = fieldOf(statement, type ?? '');
  switch (type) {
    case 'SelectStmt':
      return {kind: isReadOnlyTree(statement) ? 'read' : 'write'};
    case 'TransactionStmt':
      return classifyTransactionCommand(body);
    case 'VariableSetStmt':
      return classifySet(body);
    case 'VariableShowStmt':
      return classifyShow(body);
    case 'InsertStmt':
    case 'UpdateStmt':
    case 'DeleteStmt':
    case 'MergeStmt':
      return {kind: 'write'};
    case 'CopyStmt':
      return unsupported('COPY');
    case 'ListenStmt':
    case 'UnlistenStmt':
      return unsupported('LISTEN');
    case 'PrepareStmt':
    case 'ExecuteStmt':
    case 'DeallocateStmt':
      return unsupported(
        'SQL commands for prepared statements, such as PREPARE',
      );
    case 'DeclareCursorStmt':
      return unsupported('DECLARE CURSOR');
    case 'DiscardStmt':
      return body['target'] === 'DISCARD_ALL'
        ? {kind: 'discardAll'}
        : unsupported('DISCARD other than DISCARD ALL');
    default:
      return {kind: 'write'};
  }
}

function unsupported(feature: string): Statement {
  return {kind: 'unsupported', feature};
}

/**
 * Returns whether a tree locks no rows, modifies no data and creates no tables,
 * and calls only {@link READ_ONLY_FUNCTIONS}.
 */
function isReadOnlyTree(tree: SyntaxNode): boolean {
  return !someNode(tree, node => {
    if (isNode(node, 'LockingClause')) return true;
    if (isNode(node, 'IntoClause') || 'intoClause' in node) return true;
    if ('lockingClause' in node) return true;
    if (isNode(node, 'InsertStmt') || isNode(node, 'UpdateStmt')) return true;
    if (isNode(node, 'DeleteStmt') || isNode(node, 'MergeStmt')) return true;
    return isNode(node, 'FuncCall') && !isReadOnlyCall(node);
  });
}

function isReadOnlyCall(node: SyntaxNode): boolean {
  const parts = fieldOf(node, 'FuncCall')['funcname'] as SyntaxNode[];
  const names = parts.map(stringOf);
  const schema = names.length > 1 ? names[0] : 'pg_catalog';
  const name = names[names.length - 1] ?? '';
  return schema === 'pg_catalog' && READ_ONLY_FUNCTIONS.has(name);
}

function classifyTransactionCommand(body: SyntaxNode): Statement {
  switch (body['kind']) {
    case 'TRANS_STMT_BEGIN':
    case 'TRANS_STMT_START':
      return {kind: 'begin', options: {readOnly: requestsReadOnly(body)}};
    case 'TRANS_STMT_COMMIT':
      return body['chain'] === true
        ? unsupported('AND CHAIN')
        : {kind: 'commit'};
    case 'TRANS_STMT_ROLLBACK':
      return body['chain'] === true
        ? unsupported('AND CHAIN')
        : {kind: 'rollback'};
    case 'TRANS_STMT_PREPARE':
    case 'TRANS_STMT_COMMIT_PREPARED':
    case 'TRANS_STMT_ROLLBACK_PREPARED':
      return unsupported('two-phase commit');
    default:
      return {kind: 'insideTransaction'};
  }
}

function requestsReadOnly(body: SyntaxNode): boolean {
  const options = (body['options'] as SyntaxNode[] | undefined) ?? [];
  return options.some(option => {
    const definition = fieldOf(option, 'DefElem');
    if (definition['defname'] !== 'transaction_read_only') return false;
    const constant = fieldOf(definition['arg'] as SyntaxNode, 'A_Const');
    return fieldOf(constant, 'ival')['ival'] === 1;
  });
}

function classifySet(body: SyntaxNode): Statement {
  const name = String(body['name'] ?? '');
  if (body['is_local'] === true) return {kind: 'insideTransaction'};
  if (name.startsWith(PROXY_SETTING_PREFIX)) {
    return {kind: 'setProxySetting', name, value: readSettingValue(body)};
  }
  if (body['kind'] === 'VAR_SET_MULTI' && name === 'TRANSACTION') {
    return {kind: 'insideTransaction'};
  }
  if (body['kind'] === 'VAR_RESET_ALL') return {kind: 'resetSession'};
  const values = readConstants(body);
  const isSupported =
    SUPPORTED_SET_KINDS.has(body['kind']) && SETTING_NAME_PATTERN.test(name);
  return isSupported && values !== undefined
    ? {kind: 'setSession', name, values}
    : unsupported(`session-level SET ${name}`);
}

/**
 * Returns the values after SET as texts, or `undefined` if any of them is not a
 * constant.
 */
function readConstants(body: SyntaxNode): readonly string[] | undefined {
  const nodes = (body['args'] as SyntaxNode[] | undefined) ?? [];
  const values = nodes.map(readConstant);
  return values.every(value => value !== undefined) ? values : undefined;
}

function readSettingValue(body: SyntaxNode): string | undefined {
  const values = (body['args'] as SyntaxNode[] | undefined) ?? [];
  const first = values[0];
  return first === undefined ? undefined : readConstant(first);
}

function readConstant(node: SyntaxNode): string | undefined {
  const constant = fieldOf(node, 'A_Const');
  if ('sval' in constant) {
    return String(fieldOf(constant, 'sval')['sval'] ?? '');
  }
  if ('ival' in constant) return String(fieldOf(constant, 'ival')['ival'] ?? 0);
  if ('fval' in constant) return String(fieldOf(constant, 'fval')['fval']);
  return undefined;
}

function classifyShow(body: SyntaxNode): Statement {
  const name = String(body['name'] ?? '');
  if (name.startsWith(PROXY_SETTING_PREFIX)) {
    return {kind: 'showProxySetting', name};
  }
  // Drivers use these settings to check whether they are connected to a
  // primary, and a replica's answer would mislead them.
  return {kind: PRIMARY_ONLY_SETTINGS.has(name) ? 'write' : 'read'};
}
