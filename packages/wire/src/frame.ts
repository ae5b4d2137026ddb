import {Either, Left, Right} from 'purify-ts';

/** Bytes of the type byte and the length that begin a message. */
export const FRAME_HEADER_BYTES = 5;
const LENGTH_BYTES = 4;

/** One whole protocol message, as bytes. */
export interface Frame {
  /** The message's type byte, or 0 for a start-up message, which has none. */
  readonly type: number;
  /** The whole message, header included. */
  readonly bytes: Buffer;
}

/** Why a byte stream cannot be read as messages. */
export type FrameError =
  | {readonly kind: 'frameTooLong'; readonly length: number}
  | {readonly kind: 'frameTooShort'; readonly length: number};

/** Which form the messages of a stream have. */
export type FrameForm = 'startUp' | 'regular';

/**
 * Cuts a byte stream into messages. A length is checked before its message is
 * buffered, so that a hostile length costs no memory.
 */
export class FrameSplitter {
  private chunks: Buffer[] = [];
  private buffered = 0;

  private constructor(
    private readonly maximumBytes: number,
    private form: FrameForm,
  ) {}

  /** A splitter that refuses messages longer than `maximumBytes`. */
  static create(maximumBytes: number, form: FrameForm): FrameSplitter {
    return new FrameSplitter(maximumBytes, form);
  }

  /** A splitter with another bound that goes on with the same bytes. */
  withLimit(maximumBytes: number): FrameSplitter {
    const other = new FrameSplitter(maximumBytes, this.form);
    other.chunks = this.chunks;
    other.buffered = this.buffered;
    return other;
  }

  /** Later messages have the form `form`: start-up is over. */
  expect(form: FrameForm): void {
    this.form = form;
  }

  /** Takes the next bytes; they come out of {@link FrameSplitter.next}. */
  push(chunk: Buffer): void {
    this.chunks.push(chunk);
    this.buffered += chunk.length;
  }

  /** The next whole message, or `undefined` until more bytes have come. */
  next(): Either<FrameError, Frame | undefined> {
    const lengthOffset = this.form === 'regular' ? 1 : 0;
    if (this.buffered < lengthOffset + LENGTH_BYTES) return Right(undefined);
    const head = this.joined(lengthOffset + LENGTH_BYTES);
    const length = head.readUInt32BE(lengthOffset);
    if (length < LENGTH_BYTES) return Left({kind: 'frameTooShort', length});
    if (length > this.maximumBytes) return Left({kind: 'frameTooLong', length});
    const total = lengthOffset + length;
    if (this.buffered < total) return Right(undefined);
    const type = lengthOffset === 1 ? head.readUInt8(0) : 0;
    return Right({type, bytes: this.remove(total)});
  }

  /** Every whole message that has come. */
  drain(): Either<FrameError, readonly Frame[]> {
    const frames: Frame[] = [];
    for (;;) {
      const result = this.next();
      if (result.isLeft()) return result as Either<FrameError, never>;
      const frame = result.extract() as Frame | undefined;
      if (frame === undefined) return Right(frames);
      frames.push(frame);
    }
  }

  /** The first chunk, made long enough to hold `bytes`. */
  private joined(bytes: number): Buffer {
    const first = this.chunks[0] ?? Buffer.alloc(0);
    if (first.length >= bytes) return first;
    const whole = Buffer.concat(this.chunks);
    this.chunks = [whole];
    return whole;
  }

  private remove(bytes: number): Buffer {
    const whole = this.joined(bytes);
    const rest = whole.subarray(bytes);
    this.chunks[0] = rest;
    if (rest.length === 0) this.chunks.shift();
    this.buffered -= bytes;
    return whole.subarray(0, bytes);
  }
}
