import {connect, Socket} from 'node:net';
import {serialize} from 'pg-protocol';
import {Address} from '@apricotlock/topology';
import {
  BackendType,
  ByteStream,
  Frame,
  FrameSplitter,
  readErrorResponse,
  readFirstValue,
} from '@apricotlock/wire';

const MAXIMUM_BYTES = 64 << 20;

/** A caller that chooses each message it sends. */
export class RawCaller {
  private readonly splitter = FrameSplitter.create(MAXIMUM_BYTES, 'regular');

  private constructor(
    readonly socket: Socket,
    private readonly stream: ByteStream,
  ) {}

  /** Connects, and waits until the first ReadyForQuery or the end. */
  static async connect(
    {host, port}: Address,
    parameters: Record<string, string>,
  ): Promise<RawCaller> {
    const socket = connect({host, port, noDelay: true});
    const stream = ByteStream.of(socket, MAXIMUM_BYTES);
    const caller = new RawCaller(socket, stream);
    caller.send(serialize.startup(parameters) as Buffer);
    return caller;
  }

  /** Sends messages in one write. */
  send(...messages: readonly Buffer[]): void {
    this.stream.write(Buffer.concat(messages));
  }

  /** The next message, or `undefined` at the end. */
  async next(): Promise<Frame | undefined> {
    for (;;) {
      const frame = this.splitter.takeFrame().unsafeCoerce();
      if (frame !== undefined) return frame;
      const chunk = await this.stream.read();
      if (chunk === undefined) return undefined;
      this.splitter.push(chunk);
    }
  }

  /** So many messages, without ParameterStatus. */
  async take(count: number): Promise<readonly Frame[]> {
    const frames: Frame[] = [];
    while (frames.length < count) {
      const frame = await this.next();
      if (frame === undefined) return frames;
      if (frame.type !== BackendType.PARAMETER_STATUS) frames.push(frame);
    }
    return frames;
  }

  /** The messages up to ReadyForQuery, or to the end. */
  async answer(): Promise<readonly Frame[]> {
    const frames: Frame[] = [];
    for (;;) {
      const frame = await this.next();
      if (frame === undefined) return frames;
      if (frame.type === BackendType.PARAMETER_STATUS) continue;
      frames.push(frame);
      if (frame.type === BackendType.READY_FOR_QUERY) return frames;
    }
  }

  /** Ends the connection. */
  close(): void {
    this.socket.destroy();
  }
}

/** The type bytes of messages, as text. */
export function typesOf(frames: readonly Frame[]): string {
  return frames.map(({type}) => String.fromCharCode(type)).join('');
}

/** The SQLSTATE of the first error. */
export function codeOf(frames: readonly Frame[]): string | undefined {
  const error = frames.find(({type}) => type === BackendType.ERROR_RESPONSE);
  return error && readErrorResponse(error).code;
}

/** The first value of each row. */
export function valuesOf(
  frames: readonly Frame[],
): ReadonlyArray<string | undefined> {
  return frames
    .filter(({type}) => type === BackendType.DATA_ROW)
    .map(readFirstValue);
}
