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

/** A client that sends arbitrary protocol messages. */
export class RawCaller {
  private readonly splitter = FrameSplitter.create(MAXIMUM_BYTES, 'regular');

  private constructor(
    readonly socket: Socket,
    private readonly stream: ByteStream,
  ) {}

  /** Opens a socket and sends the start-up message with `parameters`. */
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

  /** Returns the next message, or `undefined` at the end of the stream. */
  async nextFrame(): Promise<Frame | undefined> {
    for (;;) {
      const frame = this.splitter.takeFrame().unsafeCoerce();
      if (frame !== undefined) return frame;
      const chunk = await this.stream.read();
      if (chunk === undefined) return undefined;
      this.splitter.push(chunk);
    }
  }

  /**
   * Returns the next `count` messages, or fewer at the end of the stream. Skips
   * ParameterStatus.
   */
  async receiveFrames(count: number): Promise<readonly Frame[]> {
    const frames: Frame[] = [];
    while (frames.length < count) {
      const frame = await this.nextFrame();
      if (frame === undefined) return frames;
      if (frame.type !== BackendType.PARAMETER_STATUS) frames.push(frame);
    }
    return frames;
  }

  /**
   * Returns the messages up to and including ReadyForQuery, or up to the end of
   * the stream. Skips ParameterStatus.
   */
  async receiveAnswer(): Promise<readonly Frame[]> {
    const frames: Frame[] = [];
    for (;;) {
      const frame = await this.nextFrame();
      if (frame === undefined) return frames;
      if (frame.type === BackendType.PARAMETER_STATUS) continue;
      frames.push(frame);
      if (frame.type === BackendType.READY_FOR_QUERY) return frames;
    }
  }

  /** Closes the connection. */
  close(): void {
    this.socket.destroy();
  }
}

/** Returns the type bytes of the messages as one string. */
export function typesOf(frames: readonly Frame[]): string {
  return frames.map(({type}) => String.fromCharCode(type)).join('');
}

/** Returns the SQLSTATE of the first ErrorResponse, if there is one. */
export function codeOf(frames: readonly Frame[]): string | undefined {
  const error = frames.find(({type}) => type === BackendType.ERROR_RESPONSE);
  return error && readErrorResponse(error).code;
}

/** Returns the first value of each DataRow. */
export function valuesOf(
  frames: readonly Frame[],
): ReadonlyArray<string | undefined> {
  return frames
    .filter(({type}) => type === BackendType.DATA_ROW)
    .map(readFirstValue);
}
