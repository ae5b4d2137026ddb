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
import {Failure, failureFields} from './failure.js';

const READY_BYTES = readyForQuery('idle').length;

/** Position of one message in the bytes of an answer. */
interface MessageSpan {
  readonly type: number;
  readonly start: number;
  readonly end: number;
}

/** Which messages of an answer must not be passed to the caller. */
export interface AnswerReaderOptions {
  /** Number of answers at the start that belong to queries of the proxy. */
  readonly hiddenAnswers: number;
  /** Indexes of the Parse messages that the proxy added. */
  readonly hiddenParses: ReadonlySet<number>;
  /** Number of messages that the caller has already received after a Flush. */
  readonly deliveredMessages: number;
  /** Whether messages are counted, which requires reading each of them. */
  readonly counts: boolean;
}

/** Reads an answer in parts and removes messages not meant for the caller. */
export class AnswerReader {
  private parsedCount = 0;
  private visibleCount = 0;
  private answersToHide: number;

  private constructor(private readonly options: AnswerReaderOptions) {
    this.answersToHide = options.hiddenAnswers;
  }

  /** Creates a reader for one answer. */
  static create(options: AnswerReaderOptions): AnswerReader {
    return new AnswerReader(options);
  }

  /** Number of Parse messages that the member has completed. */
  get completedParses(): number {
    return this.parsedCount;
  }

  /**
   * Number of messages for the caller so far, including those that it had
   * already received. Notices, parameter changes and ReadyForQuery are not
   * counted.
   */
  get visibleMessages(): number {
    return this.visibleCount;
  }

  /** Returns the messages for the caller; `part` consists of whole messages. */
  filterVisible(part: Buffer): Buffer {
    if (!this.needsFiltering) return part;
    const visible: Buffer[] = [];
    for (const span of messageSpans(part)) {
      if (this.isVisible(span.type)) {
        visible.push(part.subarray(span.start, span.end));
      }
    }
    return Buffer.concat(visible);
  }

  private get needsFiltering(): boolean {
    const {counts, hiddenParses, deliveredMessages} = this.options;
    if (counts || this.answersToHide > 0) return true;
    return hiddenParses.size > 0 || deliveredMessages > 0;
  }

  private isVisible(type: number): boolean {
    if (this.answersToHide > 0) {
      if (type === BackendType.READY_FOR_QUERY) this.answersToHide -= 1;
      return false;
    }
    if (type === BackendType.PARSE_COMPLETE) {
      this.parsedCount += 1;
      if (this.options.hiddenParses.has(this.parsedCount - 1)) return false;
    }
    const isAsynchronous =
      type === BackendType.NOTICE || type === BackendType.PARAMETER_STATUS;
    if (isAsynchronous || type === BackendType.READY_FOR_QUERY) return true;
    this.visibleCount += 1;
    return this.visibleCount > this.options.deliveredMessages;
  }
}

/** Returns an answer without its final ReadyForQuery. */
export function withoutReady(answer: Buffer): Buffer {
  return answer.subarray(0, answer.length - READY_BYTES);
}

/** Returns whether an answer contains an error with the given SQLSTATE. */
export function hasError(answer: Buffer, code: string): boolean {
  // The code field has these bytes in the message, so most answers without the
  // error are recognized without reading their messages.
  if (!answer.includes(`C${code}\0`)) return false;
  for (const {type, start, end} of messageSpans(answer)) {
    if (type !== BackendType.ERROR_RESPONSE) continue;
    const bytes = answer.subarray(start, end);
    if (readErrorResponse({type, bytes}).code === code) return true;
  }
  return false;
}

/** Returns whether an answer contains an error. */
export function hasAnyError(answer: Buffer): boolean {
  for (const {type} of messageSpans(answer)) {
    if (type === BackendType.ERROR_RESPONSE) return true;
  }
  return false;
}

/** Returns whether an answer contains a message of the given type. */
export function hasMessageOfType(answer: Buffer, wanted: number): boolean {
  for (const {type} of messageSpans(answer)) {
    if (type === wanted) return true;
  }
  return false;
}

/** Splits the answer to several requests after each ReadyForQuery. */
export function splitAnswers(answer: Buffer): readonly Buffer[] {
  const answers: Buffer[] = [];
  let answerStart = 0;
  for (const {type, end} of messageSpans(answer)) {
    if (type !== BackendType.READY_FOR_QUERY) continue;
    answers.push(answer.subarray(answerStart, end));
    answerStart = end;
  }
  return answers;
}

/** Returns the first value of the first row, if there is one. */
export function firstValueOf(answer: Buffer): string | undefined {
  for (const {type, start, end} of messageSpans(answer)) {
    if (type !== BackendType.DATA_ROW) continue;
    return readFirstValue({type, bytes: answer.subarray(start, end)});
  }
  return undefined;
}

/** Returns the last command tag of an answer. */
export function commandTagOf(answer: Buffer): string | undefined {
  let tag: string | undefined;
  for (const {type, start, end} of messageSpans(answer)) {
    if (type !== BackendType.COMMAND_COMPLETE) continue;
    tag = readCommandTag({type, bytes: answer.subarray(start, end)});
  }
  return tag;
}

/** Returns an answer with another status in its final ReadyForQuery. */
export function withStatus(answer: Buffer, status: TransactionStatus): Buffer {
  return Buffer.concat([withoutReady(answer), readyForQuery(status)]);
}

/** Inserts a ParameterStatus before the final ReadyForQuery of an answer. */
export function withParameterStatus(
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

/** Builds the answer to a batch that failed. */
export function failureAnswer(
  failure: Failure,
  status: TransactionStatus,
): Buffer {
  return Buffer.concat([
    errorResponse(failureFields(failure)),
    readyForQuery(status),
  ]);
}

/** Iterates over the messages of an answer without copying them. */
function* messageSpans(answer: Buffer): Generator<MessageSpan> {
  let start = 0;
  while (start + FRAME_HEADER_BYTES <= answer.length) {
    const end = start + 1 + answer.readUInt32BE(start + 1);
    yield {type: answer.readUInt8(start), start, end};
    start = end;
  }
}
