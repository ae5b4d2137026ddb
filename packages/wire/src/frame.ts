import {Either, Left, Right} from 'purify-ts';

/** Size of the header of a regular message: type byte and length. */
export const FRAME_HEADER_BYTES = 5;
const LENGTH_BYTES = 4;

/** One complete protocol message. */
export interface Frame {
  /** The type byte, or 0 for a start-up message, which has none. */
  readonly type: number;
  /** The complete message, including its header. */
  readonly bytes: Buffer;
}

/** A message length that is not valid; the stream cannot be read further. */
export type FrameError =
  /** The length exceeds the maximum of the splitter. */
  | {readonly kind: 'frameTooLong'; readonly length: number}
  /** The length is smaller than the length field itself. */
  | {readonly kind: 'frameTooShort'; readonly length: number};

/**
 * The header format of messages: `startUp` messages begin with their length,
 * `regular` ones with a type byte before it.
 */
export type FrameFormat = 'startUp' | 'regular';

/**
 * Splits a byte stream into protocol messages. The length of a message is
 * checked before the message is buffered, so that a peer cannot exhaust memory
 * by announcing a huge one.
 */
export class FrameSplitter {
  private chunks: Buffer[] = [];
  private byteCount = 0;

  private constructor(
    private readonly maximumBytes: number,
    private format: FrameFormat,
  ) {}

  /**
   * Creates a splitter that refuses messages whose length field exceeds
   * `maximumBytes`.
   */
  static create(maximumBytes: number, format: FrameFormat): FrameSplitter {
    return new FrameSplitter(maximumBytes, format);
  }

  /**
   * Returns a splitter with another maximum length that takes over the buffered
   * bytes. The original must not be used afterwards.
   */
  withMaximumBytes(maximumBytes: number): FrameSplitter {
    const successor = new FrameSplitter(maximumBytes, this.format);
    successor.chunks = this.chunks;
    successor.byteCount = this.byteCount;
    return successor;
  }

  /** The number of bytes that were appended and not yet removed. */
  get bufferedBytes(): number {
    return this.byteCount;
  }

  /** Sets the header format of the messages that follow. */
  setFormat(format: FrameFormat): void {
    this.format = format;
  }

  /** Appends bytes received from the stream. */
  push(chunk: Buffer): void {
    this.chunks.push(chunk);
    this.byteCount += chunk.length;
  }

  /**
   * Removes and returns the next complete message, or returns `undefined` if
   * more bytes are needed.
   */
  takeFrame(): Either<FrameError, Frame | undefined> {
    const lengthOffset = this.format === 'regular' ? 1 : 0;
    if (this.byteCount < lengthOffset + LENGTH_BYTES) return Right(undefined);
    const header = this.joinChunks(lengthOffset + LENGTH_BYTES);
    const length = header.readUInt32BE(lengthOffset);
    if (length < LENGTH_BYTES) return Left({kind: 'frameTooShort', length});
    if (length > this.maximumBytes) return Left({kind: 'frameTooLong', length});
    const frameBytes = lengthOffset + length;
    if (this.byteCount < frameBytes) return Right(undefined);
    const type = lengthOffset === 1 ? header.readUInt8(0) : 0;
    return Right({type, bytes: this.remove(frameBytes)});
  }

  /** Removes and returns all complete messages that are buffered. */
  drain(): Either<FrameError, readonly Frame[]> {
    const frames: Frame[] = [];
    for (;;) {
      const result = this.takeFrame();
      if (result.isLeft()) return result as Either<FrameError, never>;
      const frame = result.extract() as Frame | undefined;
      if (frame === undefined) return Right(frames);
      frames.push(frame);
    }
  }

  /**
   * Returns the first chunk, joined with all others if it is shorter than
   * `bytes`.
   */
  private joinChunks(bytes: number): Buffer {
    const first = this.chunks[0] ?? Buffer.alloc(0);
    if (first.length >= bytes) return first;
    const joined = Buffer.concat(this.chunks);
    this.chunks = [joined];
    return joined;
  }

  private remove(bytes: number): Buffer {
    const joined = this.joinChunks(bytes);
    const rest = joined.subarray(bytes);
    this.chunks[0] = rest;
    if (rest.length === 0) this.chunks.shift();
    this.byteCount -= bytes;
    return joined.subarray(0, bytes);
  }
}
