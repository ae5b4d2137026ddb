import {
  BackendType,
  emptyMessage,
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

/** Result of a statement that the proxy carries out without a member. */
export interface LocalResult {
  /** Command tag, such as `SET`. */
  readonly tag: string;
  /** The single row of SHOW, with the name of its column. */
  readonly row?: {readonly name: string; readonly value: string};
}

/** Builds the answer to a batch of one statement that the proxy carried out. */
export function buildLocalAnswer(
  frames: readonly Frame[],
  result: LocalResult,
  status: TransactionStatus,
): Buffer {
  const parts = frames.map(frame => answerFrame(frame, result));
  return Buffer.concat([...parts, readyForQuery(status)]);
}

/** Returns whether the messages run a statement and not only prepare it. */
export function executes(frames: readonly Frame[]): boolean {
  return frames.some(
    ({type}) => type === FrontendType.QUERY || type === FrontendType.EXECUTE,
  );
}

/** Returns how many messages answer `frames` if there is no error. */
export function countMessages(frames: readonly Frame[]): number {
  return frames.map(countFrameMessages).reduce((sum, count) => sum + count, 0);
}

function countFrameMessages(frame: Frame): number {
  if (frame.type !== FrontendType.DESCRIBE) return 1;
  // Describe of a statement returns its parameters and its columns.
  return describesStatement(frame) ? 2 : 1;
}

function describesStatement(frame: Frame): boolean {
  return readTarget(frame)
    .map(({target}) => target === 'statement')
    .orDefault(false);
}

function answerFrame(frame: Frame, result: LocalResult): Buffer {
  switch (frame.type) {
    case FrontendType.QUERY:
      return Buffer.concat([
        columnDescription(result),
        completeCommand(result),
      ]);
    case FrontendType.PARSE:
      return emptyMessage(BackendType.PARSE_COMPLETE);
    case FrontendType.BIND:
      return emptyMessage(BackendType.BIND_COMPLETE);
    case FrontendType.CLOSE:
      return emptyMessage(BackendType.CLOSE_COMPLETE);
    case FrontendType.DESCRIBE:
      return answerDescribe(frame, result);
    case FrontendType.EXECUTE:
      return completeCommand(result);
    default:
      return Buffer.alloc(0);
  }
}

function answerDescribe(frame: Frame, result: LocalResult): Buffer {
  const columns =
    result.row === undefined
      ? emptyMessage(BackendType.NO_DATA)
      : columnDescription(result);
  return describesStatement(frame)
    ? Buffer.concat([parameterDescription([]), columns])
    : columns;
}

function columnDescription({row}: LocalResult): Buffer {
  return row === undefined
    ? Buffer.alloc(0)
    : rowDescription([{name: row.name}]);
}

function completeCommand({row, tag}: LocalResult): Buffer {
  const complete = commandComplete(tag);
  return row === undefined
    ? complete
    : Buffer.concat([dataRow([row.value]), complete]);
}
