import {queryMessage} from '@apricotlock/wire';

/** The table, in each caller's database, that holds the keys. */
const TABLE = 'apricotlock_idempotency';

/** Begins the transaction of a statement that would commit by itself. */
export const BEGIN = queryMessage('BEGIN');

/** Ends it. */
export const COMMIT = queryMessage('COMMIT');

/** Makes the table where there is none. */
export const CREATE_TABLE = queryMessage(
  `CREATE TABLE IF NOT EXISTS ${TABLE} ` +
    '(key text PRIMARY KEY, record text, created bigint)',
);

/**
 * Takes a key, and gives a row if it was free. It waits for another attempt
 * under the same key that has not ended yet.
 */
export function claimQuery(key: string, createdAt: number): Buffer {
  return queryMessage(
    `INSERT INTO ${TABLE} (key, record, created) ` +
      `VALUES (${literal(key)}, '', ${createdAt}) ` +
      'ON CONFLICT DO NOTHING RETURNING key',
  );
}

/** Gives the record that is stored under a key. */
export function findQuery(key: string): Buffer {
  return queryMessage(
    `SELECT record FROM ${TABLE} WHERE key = ${literal(key)}`,
  );
}

/** Stores the record under a key that the transaction has taken. */
export function completeQuery(key: string, record: string): Buffer {
  return queryMessage(
    `UPDATE ${TABLE} SET record = ${literal(record)} ` +
      `WHERE key = ${literal(key)}`,
  );
}

/** Forgets keys that were taken before a time. */
export function forgetQuery(createdBefore: number): Buffer {
  return queryMessage(`DELETE FROM ${TABLE} WHERE created < ${createdBefore}`);
}

/** A text as SQL; the sessions have standard_conforming_strings on. */
function literal(text: string): string {
  return `'${text.replaceAll("'", "''")}'`;
}
