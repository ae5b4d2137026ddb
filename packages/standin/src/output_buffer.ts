import {ByteStream} from '@apricotlock/wire';

const SEND_BUFFER_BYTES = 8_192;

/**
 * Buffers messages as PostgreSQL does: they are sent when the session is ready
 * for the next query, on a Flush message, or when the buffer is full.
 */
export class OutputBuffer {
  private unsent: Buffer[] = [];
  private unsentBytes = 0;

  private constructor(private readonly stream: ByteStream) {}

  /** Creates an empty buffer that writes to `stream`. */
  static create(stream: ByteStream): OutputBuffer {
    return new OutputBuffer(stream);
  }

  /** Adds complete messages; sends the buffer if it is full. */
  add(bytes: Buffer): void {
    this.unsent.push(bytes);
    this.unsentBytes += bytes.length;
    if (this.unsentBytes >= SEND_BUFFER_BYTES) this.flush();
  }

  /** Sends all buffered messages. */
  flush(): void {
    if (this.unsent.length === 0) return;
    this.stream.write(Buffer.concat(this.unsent));
    this.unsent = [];
    this.unsentBytes = 0;
  }
}
