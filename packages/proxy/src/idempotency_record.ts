import {createHash} from 'node:crypto';
import {Either, Left, Right} from 'purify-ts';
import {z} from 'zod';
import {RequestBatch} from './request_batch.js';

/** Maximum length of a record's text form; longer records are not stored. */
const MAXIMUM_RECORD_CHARACTERS = 1 << 18;

const recordSchema = z.array(
  z.object({request: z.string(), answer: z.string()}),
);

/** One batch of a keyed request with the answer of the member. */
export interface RecordedStep {
  /** SHA-256 digest of the bytes sent to the member, in base64. */
  readonly request: string;
  /** The member's complete answer. */
  readonly answer: Buffer;
}

/** Reason why a record cannot be written or read. */
export type RecordError = 'tooLarge' | 'malformed';

/**
 * The batches run under an idempotency key, with their answers. The record is
 * stored by the same transaction as the work, so that it exists if and only if
 * the work has been committed.
 */
export class IdempotencyRecord {
  private constructor(readonly steps: readonly RecordedStep[]) {}

  /** A record without any batch. */
  static readonly EMPTY = new IdempotencyRecord([]);

  /** Parses the text form; returns `malformed` if it is not valid. */
  static parse(text: string): Either<RecordError, IdempotencyRecord> {
    try {
      const steps = recordSchema.parse(JSON.parse(text)).map(step => ({
        request: step.request,
        answer: Buffer.from(step.answer, 'base64'),
      }));
      return Right(new IdempotencyRecord(steps));
    } catch {
      return Left('malformed');
    }
  }

  /** Returns a copy of this record with one more batch and its answer. */
  withStep(batch: RequestBatch, answer: Buffer): IdempotencyRecord {
    const step = {request: digestRequest(batch), answer};
    return new IdempotencyRecord([...this.steps, step]);
  }

  /** Returns the stored answer at `index` if it belongs to an equal batch. */
  answerAt(index: number, batch: RequestBatch): Buffer | undefined {
    const step = this.steps[index];
    return step?.request === digestRequest(batch) ? step.answer : undefined;
  }

  /** Returns the text form, or `tooLarge` if it is too long to be stored. */
  toText(): Either<RecordError, string> {
    const text = JSON.stringify(
      this.steps.map(({request, answer}) => ({
        request,
        answer: answer.toString('base64'),
      })),
    );
    return text.length > MAXIMUM_RECORD_CHARACTERS
      ? Left('tooLarge')
      : Right(text);
  }
}

/**
 * Returns the digest by which two requests are compared: that of the bytes for
 * the member. Named statements are prepared again for each batch, so a repeated
 * request has the same digest whether or not it contains the Parse itself.
 */
function digestRequest(batch: RequestBatch): string {
  return createHash('sha256').update(batch.bytes).digest('base64');
}
