import {Frame, FrontendType} from '@apricotlock/wire';
import {RunRequest} from './connection_lease.js';
import {RequestBatch} from './request_batch.js';

/** Sync message that ends a batch which the caller has only flushed. */
export const SYNC_FRAME: Frame = {
  type: FrontendType.SYNC,
  bytes: Buffer.from([FrontendType.SYNC, 0, 0, 0, 4]),
};

/** Returns whether a batch may commit an open transaction. */
export function mayCommit({unparsed, statements}: RequestBatch): boolean {
  return unparsed || statements.some(({kind}) => kind === 'commit');
}

/**
 * Returns what to run for a batch, after the statements that replay the settings
 * of its session, if there are any.
 */
export function runRequest(
  batch: RequestBatch,
  replay: Buffer | undefined,
): RunRequest {
  const setsSettings = batch.statements.some(({kind}) => kind === 'setSession');
  if (replay === undefined) {
    return {bytes: batch.bytes, answers: 1, reset: setsSettings};
  }
  const bytes = Buffer.concat([replay, batch.bytes]);
  return {bytes, answers: 2, reset: true};
}
