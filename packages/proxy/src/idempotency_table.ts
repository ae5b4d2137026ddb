import {queryMessage} from '@apricotlock/wire';

/** Table of idempotency keys; each database that uses keys has one. */
const TABLE_NAME = 'apricotlock_idempotency';

/** Opens a transaction around a statement that would otherwise autocommit. */
export const BEGIN_QUERY = queryMessage('BEGIN');

/** Commits the transaction that `BEGIN_QUERY` opened. */
export const COMMIT_QUERY = queryMessage('COMMIT');

/** Creates the table if it does not exist. */
export const CREATE_TABLE_QUERY = queryMessage(
  `CREATE TABLE IF NOT EXISTS ${TABLE_NAME} ` +
    '(key text PRIMARY KEY, record text, created bigint)',
);

/**
 * Inserts a key; the result has a row if and only if the key was free. The
 * query waits for any open transaction that has inserted the same key.
 */
export function claimKeyQuery(key: string, createdAt: number): Buffer {
  return queryMessage(
    `INSERT INTO ${TABLE_NAME} (key, record, created) ` +
      `VALUES (${quoteLiteral(key)}, '', ${createdAt}) ` +
      'ON CONFLICT DO NOTHING RETURNING key',
  );
}

/** Selects the record stored under a key. */
export function findRecordQuery(key: string): Buffer {
  return queryMessage(
    `SELECT record FROM ${TABLE_NAME} WHERE key = ${quoteLiteral(key)}`,
  );
}

/** Stores the record under a key that this transaction has claimed. */
export function storeRecordQuery(key: string, record: string): Buffer {
  return queryMessage(
    `UPDATE ${TABLE_NAME} SET record = ${quoteLiteral(record)} ` +
      `WHERE key = ${quoteLiteral(key)}`,
  );
}

/** Deletes keys claimed before a time in milliseconds since the epoch. */
export function deleteExpiredKeysQuery(createdBefore: number): Buffer {
  return queryMessage(
    `DELETE FROM ${TABLE_NAME} WHERE created < ${createdBefore}`,
  );
}

/**
 * Quotes a text as an SQL literal. Backslashes need no escaping because the
 * sessions have standard_conforming_strings on.
 */
function quoteLiteral(text: string): string {
  return `'${text.replaceAll("'", "''")}'`;
}
