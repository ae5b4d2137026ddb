import {ByteStream} from '@apricotlock/wire';

const SEND_BUFFER_BYTES = 8_192;

/**
 * Keeps messages back as PostgreSQL does: they are sent when the session is
 * ready, when it is asked to, or when there is much to send.
 */
export class AnswerBuffer {
  private unsent: Buffer[] = [];
  private unsentBytes = 0;

  private constructor(private readonly stream: ByteStream) {}

  /** An empty buffer before a stream. */
  static before(stream: ByteStream): AnswerBuffer {
    return new AnswerBuffer(stream);
  }

  /** Adds whole messages. */
  add(bytes: Buffer): void {
    this.unsent.push(bytes);
    this.unsentBytes += bytes.length;
    if (this.unsentBytes >= SEND_BUFFER_BYTES) this.flush();
  }

  /** Sends what is kept back. */
  flush(): void {
    if (this.unsent.length === 0) return;
    this.stream.write(Buffer.concat(this.unsent));
    this.unsent = [];
    this.unsentBytes = 0;
  }
}
