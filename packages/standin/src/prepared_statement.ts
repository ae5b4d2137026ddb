import {parseSync} from 'libpg-query';
import {LRUCache} from 'lru-cache';
import {SyntaxNode} from '@apricotlock/sql';
import {SqlState} from '@apricotlock/wire';
import {SqlError} from './sql_error.js';
import {Value} from './value.js';

const MAXIMUM_CACHED_TEXTS = 2_000;

/** A parsed statement and the number of its parameters. */
export interface PreparedStatement {
  /** `undefined` if the query text is empty. */
  readonly statement: SyntaxNode | undefined;
  readonly parameterCount: number;
}

/** A prepared statement with the values of its parameters. */
export interface Portal {
  readonly prepared: PreparedStatement;
  readonly values: readonly Value[];
}

const cache = new LRUCache<string, readonly SyntaxNode[]>({
  max: MAXIMUM_CACHED_TEXTS,
});

/** Parses the statements of a query text. Throws SqlError if it is not SQL. */
export function parseStatements(text: string): readonly SyntaxNode[] {
  const cached = cache.get(text);
  if (cached !== undefined) return cached;
  const statements = parseUncached(text);
  cache.set(text, statements);
  return statements;
}

/**
 * Prepares the statement of a query text. Throws SqlError if it is not SQL or
 * has several statements.
 */
export function prepare(text: string): PreparedStatement {
  const statements = parseStatements(text);
  if (statements.length > 1) {
    throw SqlError.of(
      SqlState.SYNTAX_ERROR,
      'cannot insert multiple commands into a prepared statement',
    );
  }
  const numbers = [...JSON.stringify(statements).matchAll(PARAMETER_PATTERN)];
  const parameterCount = Math.max(0, ...numbers.map(found => Number(found[1])));
  return {statement: statements[0], parameterCount};
}

const PARAMETER_PATTERN = /"ParamRef":\{"number":([0-9]+)/g;

function parseUncached(text: string): readonly SyntaxNode[] {
  if (text.trim() === '') return [];
  try {
    const tree = parseSync(text) as unknown as SyntaxNode;
    const raw = (tree['stmts'] as readonly SyntaxNode[] | undefined) ?? [];
    return raw.map(node => node['stmt'] as SyntaxNode);
  } catch (failure) {
    throw SqlError.of(
      SqlState.SYNTAX_ERROR,
      failure instanceof Error ? failure.message : 'syntax error',
    );
  }
}

/**
 * Reads the parameter values of a Bind message. Throws SqlError unless they are
 * in text format.
 */
export function readBindValues(rest: Buffer): readonly Value[] {
  const formatCount = rest.readInt16BE(0);
  let offset = 2;
  for (let index = 0; index < formatCount; index++) {
    if (rest.readInt16BE(offset) !== 0) {
      throw SqlError.of(
        SqlState.FEATURE_NOT_SUPPORTED,
        'the stand-in supports parameters in text format only',
      );
    }
    offset += 2;
  }
  const count = rest.readInt16BE(offset);
  offset += 2;
  const values: Value[] = [];
  for (let index = 0; index < count; index++) {
    const length = rest.readInt32BE(offset);
    offset += 4;
    if (length < 0) {
      values.push(null);
      continue;
    }
    values.push(rest.toString('utf8', offset, offset + length));
    offset += length;
  }
  return values;
}
