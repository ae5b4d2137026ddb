import {
  BackendType,
  commandComplete,
  dataRow,
  errorResponse,
  Frame,
  FrameSplitter,
  parameterStatus,
  readyForQuery,
  rowDescription,
  TransactionStatus,
} from '@apricotlock/wire';
import {Failure, failureFields} from './outcome.js';

const UNLIMITED_BYTES = 0x7fffffff;

/** Drops, at the start of an answer, what the caller did not ask for. */
export function withoutHidden(answer: Buffer, hiddenMessages: number): Buffer {
  if (hiddenMessages === 0) return answer;
  const frames = framesOf(answer);
  let dropped = 0;
  while (dropped < hiddenMessages && isPreparation(frames[dropped])) {
    dropped += 1;
  }
  return Buffer.concat(frames.slice(dropped).map(frame => frame.bytes));
}

/** Puts a ParameterStatus before the ReadyForQuery that ends an answer. */
export function withParameter(
  answer: Buffer,
  name: string,
  value: string,
): Buffer {
  const ready = answer.length - readyForQuery('idle').length;
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

/** The answer to a command that gives no rows. */
export function commandAnswer(tag: string, status: TransactionStatus): Buffer {
  return Buffer.concat([commandComplete(tag), readyForQuery(status)]);
}

/** The answer to SHOW. */
export function showAnswer(
  name: string,
  value: string,
  status: TransactionStatus,
): Buffer {
  return Buffer.concat([
    rowDescription([{name}]),
    dataRow([value]),
    commandComplete('SHOW'),
    readyForQuery(status),
  ]);
}

function framesOf(answer: Buffer): readonly Frame[] {
  const splitter = FrameSplitter.create(UNLIMITED_BYTES, 'regular');
  splitter.push(answer);
  return splitter.drain().orDefault([]);
}

function isPreparation(frame: Frame | undefined): boolean {
  return (
    frame?.type === BackendType.CLOSE_COMPLETE ||
    frame?.type === BackendType.PARSE_COMPLETE
  );
}
