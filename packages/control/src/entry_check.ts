import {Either, Left, Right} from 'purify-ts';
import {entryBodySchema} from './control_schemas.js';
import {EntryBody} from './log_entry.js';

/**
 * Checks the content of an entry before it is appended to a log, with the schema
 * by which followers check what they receive. An entry that they would refuse
 * could never be committed, nor any entry after it. `Left` has the reason.
 */
export function checkEntryBody(body: EntryBody): Either<string, EntryBody> {
  const result = entryBodySchema.safeParse(body);
  if (result.success) return Right(result.data);
  const kind = body.kind === 'command' ? body.command.kind : body.kind;
  const [issue] = result.error.issues;
  return Left(`malformed ${kind}: ${issue?.message ?? 'not valid'}`);
}
