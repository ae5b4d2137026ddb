import {createHash} from 'node:crypto';
import {Either, Left, Right} from 'purify-ts';
import {z} from 'zod';
import {RequestBatch} from './request_batch.js';

const MAXIMUM_TEXT_CHARACTERS = 1 << 18;

const recordSchema = z.array(
  z.object({request: z.string(), answer: z.string()}),
);

/** One batch of a request, and what the member answered. */
export interface RecordedStep {
  /** The digest of what the member was sent. */
  readonly request: string;
  /** The member's whole answer. */
  readonly answer: Buffer;
}

/** Why a record cannot be written or read. */
export type RecordError = 'tooLarge' | 'malformed';

/**
 * What was done under an idempotency key: it is stored in the transaction that
 * does it, so that it exists exactly if the work does.
 */
export class IdempotencyRecord {
  private constructor(readonly steps: readonly RecordedStep[]) {}

  /** The record of a request of which nothing has been run. */
  static readonly EMPTY = new IdempotencyRecord([]);

  /** Reads the text form. */
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

  /** The record with one more batch. */
  with(batch: RequestBatch, answer: Buffer): IdempotencyRecord {
    const step = {request: digestOf(batch), answer};
    return new IdempotencyRecord([...this.steps, step]);
  }

  /** The answer to the batch at a place, if that was the same batch. */
  answerAt(place: number, batch: RequestBatch): Buffer | undefined {
    const step = this.steps[place];
    return step?.request === digestOf(batch) ? step.answer : undefined;
  }

  /** The text form, if it is short enough to be kept. */
  toText(): Either<RecordError, string> {
    const text = JSON.stringify(
      this.steps.map(({request, answer}) => ({
        request,
        answer: answer.toString('base64'),
      })),
    );
    return text.length > MAXIMUM_TEXT_CHARACTERS
      ? Left('tooLarge')
      : Right(text);
  }
}

/**
 * Tells requests apart by what a member is sent for them. A named statement is
 * prepared anew for each batch, so a resend is the same whether or not it
 * prepares its statement itself.
 */
function digestOf(batch: RequestBatch): string {
  return createHash('sha256').update(batch.bytes).digest('base64');
}
