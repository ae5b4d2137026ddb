import {
  BackendType,
  bareMessage,
  commandComplete,
  dataRow,
  Frame,
  FrontendType,
  parameterDescription,
  readTarget,
  readyForQuery,
  rowDescription,
  TransactionStatus,
} from '@apricotlock/wire';

/** What a statement that no member needs to see gives. */
export interface LocalResult {
  readonly tag: string;
  /** The one row of SHOW, and the name of its column. */
  readonly row?: {readonly name: string; readonly value: string};
}

/** The answer to a batch of one statement that was carried out here. */
export function localAnswer(
  frames: readonly Frame[],
  result: LocalResult,
  status: TransactionStatus,
): Buffer {
  const parts = frames.map(frame => answerTo(frame, result));
  return Buffer.concat([...parts, readyForQuery(status)]);
}

/** Whether the batch runs its statement, and does not only prepare it. */
export function executes(frames: readonly Frame[]): boolean {
  return frames.some(
    ({type}) => type === FrontendType.QUERY || type === FrontendType.EXECUTE,
  );
}

/** How many messages the answers to these have, if there is no error. */
export function messagesFor(frames: readonly Frame[]): number {
  return frames.map(messagesForOne).reduce((sum, count) => sum + count, 0);
}

function messagesForOne(frame: Frame): number {
  if (frame.type !== FrontendType.DESCRIBE) return 1;
  // Of a statement, both its parameters and its columns are described.
  return describesStatement(frame) ? 2 : 1;
}

function describesStatement(frame: Frame): boolean {
  return readTarget(frame)
    .map(({target}) => target === 'statement')
    .orDefault(false);
}

function answerTo(frame: Frame, result: LocalResult): Buffer {
  switch (frame.type) {
    case FrontendType.QUERY:
      return Buffer.concat([columnsOf(result), completion(result)]);
    case FrontendType.PARSE:
      return bareMessage(BackendType.PARSE_COMPLETE);
    case FrontendType.BIND:
      return bareMessage(BackendType.BIND_COMPLETE);
    case FrontendType.CLOSE:
      return bareMessage(BackendType.CLOSE_COMPLETE);
    case FrontendType.DESCRIBE:
      return describe(frame, result);
    case FrontendType.EXECUTE:
      return completion(result);
    default:
      return Buffer.alloc(0);
  }
}

function describe(frame: Frame, result: LocalResult): Buffer {
  const columns =
    result.row === undefined
      ? bareMessage(BackendType.NO_DATA)
      : columnsOf(result);
  return describesStatement(frame)
    ? Buffer.concat([parameterDescription([]), columns])
    : columns;
}

function columnsOf({row}: LocalResult): Buffer {
  return row === undefined
    ? Buffer.alloc(0)
    : rowDescription([{name: row.name}]);
}

function completion({row, tag}: LocalResult): Buffer {
  const complete = commandComplete(tag);
  return row === undefined
    ? complete
    : Buffer.concat([dataRow([row.value]), complete]);
}
