import {
  BackendType,
  errorResponse,
  FRAME_HEADER_BYTES,
  parameterStatus,
  readCommandTag,
  readErrorResponse,
  readFirstValue,
  readyForQuery,
  TransactionStatus,
} from '@apricotlock/wire';
import {Failure, failureFields} from './outcome.js';

const READY_BYTES = readyForQuery('idle').length;

/** One message of an answer, as a place in its bytes. */
interface Span {
  readonly type: number;
  readonly start: number;
  readonly end: number;
}

/** What of an answer the caller has not asked for, or has already. */
export interface AnswerOptions {
  /** How many whole answers come first that belong to what the proxy sent. */
  readonly hiddenAnswers: number;
  /** Numbers of the Parse messages that the proxy sent. */
  readonly hiddenParses: ReadonlySet<number>;
  /** How many messages of the answer the caller has got already. */
  readonly messagesTold: number;
  /** Whether the counts are wanted, which costs a look at each message. */
  readonly counts: boolean;
}

/** Reads an answer part by part, and takes out what the caller is not sent. */
export class AnswerReader {
  private parsedCount = 0;
  private visibleCount = 0;
  private hiddenAnswersLeft: number;

  private constructor(private readonly options: AnswerOptions) {
    this.hiddenAnswersLeft = options.hiddenAnswers;
  }

  /** A reader for one answer. */
  static create(options: AnswerOptions): AnswerReader {
    return new AnswerReader(options);
  }

  /** How many Parse messages the member has carried out. */
  get parsed(): number {
    return this.parsedCount;
  }

  /** How many messages the caller has got; notices are not counted. */
  get messagesTold(): number {
    return this.visibleCount;
  }

  /** The caller's share of the next messages, which are all whole. */
  take(part: Buffer): Buffer {
    if (!this.hidesAnything) return part;
    const kept: Buffer[] = [];
    for (const span of spansOf(part)) {
      if (this.isVisible(span.type)) {
        kept.push(part.subarray(span.start, span.end));
      }
    }
    return Buffer.concat(kept);
  }

  private get hidesAnything(): boolean {
    const {counts, hiddenParses, messagesTold} = this.options;
    if (counts || this.hiddenAnswersLeft > 0) return true;
    return hiddenParses.size > 0 || messagesTold > 0;
  }

  private isVisible(type: number): boolean {
    if (this.hiddenAnswersLeft > 0) {
      if (type === BackendType.READY_FOR_QUERY) this.hiddenAnswersLeft -= 1;
      return false;
    }
    if (type === BackendType.PARSE_COMPLETE) {
      this.parsedCount += 1;
      if (this.options.hiddenParses.has(this.parsedCount - 1)) return false;
    }
    const asynchronous =
      type === BackendType.NOTICE || type === BackendType.PARAMETER_STATUS;
    if (asynchronous || type === BackendType.READY_FOR_QUERY) return true;
    this.visibleCount += 1;
    return this.visibleCount > this.options.messagesTold;
  }
}

/** The answer without the ReadyForQuery that ends it. */
export function withoutReady(answer: Buffer): Buffer {
  return answer.subarray(0, answer.length - READY_BYTES);
}

/** Whether an answer has an error with this SQLSTATE. */
export function hasError(answer: Buffer, code: string): boolean {
  // The field stands in the bytes as it is here: most answers are told apart
  // without reading their messages.
  if (!answer.includes(`C${code}\0`)) return false;
  for (const {type, start, end} of spansOf(answer)) {
    if (type !== BackendType.ERROR_RESPONSE) continue;
    const bytes = answer.subarray(start, end);
    if (readErrorResponse({type, bytes}).code === code) return true;
  }
  return false;
}

/** Whether an answer has any error. */
export function hasAnyError(answer: Buffer): boolean {
  for (const {type} of spansOf(answer)) {
    if (type === BackendType.ERROR_RESPONSE) return true;
  }
  return false;
}

/** Whether an answer has a message of this type. */
export function hasType(answer: Buffer, wanted: number): boolean {
  for (const {type} of spansOf(answer)) {
    if (type === wanted) return true;
  }
  return false;
}

/** An answer to several requests, cut after each ReadyForQuery. */
export function answersOf(answer: Buffer): readonly Buffer[] {
  const answers: Buffer[] = [];
  let begun = 0;
  for (const {type, end} of spansOf(answer)) {
    if (type !== BackendType.READY_FOR_QUERY) continue;
    answers.push(answer.subarray(begun, end));
    begun = end;
  }
  return answers;
}

/** The first value of the first row, if there is one. */
export function firstValueOf(answer: Buffer): string | undefined {
  for (const {type, start, end} of spansOf(answer)) {
    if (type !== BackendType.DATA_ROW) continue;
    return readFirstValue({type, bytes: answer.subarray(start, end)});
  }
  return undefined;
}

/** The last command tag of an answer. */
export function commandTagOf(answer: Buffer): string | undefined {
  let tag: string | undefined;
  for (const {type, start, end} of spansOf(answer)) {
    if (type !== BackendType.COMMAND_COMPLETE) continue;
    tag = readCommandTag({type, bytes: answer.subarray(start, end)});
  }
  return tag;
}

/** The answer, with another status in the ReadyForQuery that ends it. */
export function withStatus(answer: Buffer, status: TransactionStatus): Buffer {
  return Buffer.concat([withoutReady(answer), readyForQuery(status)]);
}

/** Puts a ParameterStatus before the ReadyForQuery that ends an answer. */
export function withParameter(
  answer: Buffer,
  name: string,
  value: string,
): Buffer {
  const ready = answer.length - READY_BYTES;
  return Buffer.concat([
    answer.subarray(0, ready),
    parameterStatus(name, value),
    answer.subarray(ready),
  ]);
}

/** The answer to a batch that was not carried out. */
export function failureAnswer(
  failure: Failure,
  status: TransactionStatus,
): Buffer {
  return Buffer.concat([
    errorResponse(failureFields(failure)),
    readyForQuery(status),
  ]);
}

/** The messages of an answer, without copying any. */
function* spansOf(answer: Buffer): Generator<Span> {
  let start = 0;
  while (start + FRAME_HEADER_BYTES <= answer.length) {
    const end = start + 1 + answer.readUInt32BE(start + 1);
    yield {type: answer.readUInt8(start), start, end};
    start = end;
  }
}
