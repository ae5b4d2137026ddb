import {write, writeSync} from 'node:fs';

const STANDARD_OUTPUT_DESCRIPTOR = 1;
const MAXIMUM_PENDING_BYTES = 256 << 10;
/** Lines wait for at most this long, so that one write takes many of them. */
const WRITE_DELAY_MILLISECONDS = 100;
/** With this many bytes pending, they are written without waiting. */
const IMMEDIATE_WRITE_BYTES = 32 << 10;

/** A destination of log lines. */
export abstract class LogOutput {
  /**
   * Accepts a line for writing, without blocking. An urgent line does not wait
   * for others, since the process may be about to end without a flush.
   */
  abstract writeLine(text: string, isUrgent?: boolean): void;

  /** Writes pending lines synchronously, for use before the process ends. */
  abstract flush(): void;
}

/**
 * Writes lines to standard output without blocking when the reader is slow.
 * Lines are collected for a short time, since each write is a system call in
 * another thread. Pending lines are buffered up to a limit; lines beyond it are
 * dropped, and a notice reports their number.
 */
export class StandardOutput extends LogOutput {
  private pendingLines: string[] = [];
  private pendingBytes = 0;
  private droppedLines = 0;
  private writing = false;
  private delay: NodeJS.Timeout | undefined;

  private constructor() {
    super();
  }

  /** Creates an output to the standard output of this process. */
  static create(): StandardOutput {
    return new StandardOutput();
  }

  override writeLine(text: string, isUrgent = false): void {
    if (this.pendingBytes + text.length > MAXIMUM_PENDING_BYTES) {
      this.droppedLines += 1;
      return;
    }
    this.pendingLines.push(`${text}\n`);
    this.pendingBytes += text.length;
    if (this.writing) return;
    const isDue = isUrgent || this.pendingBytes >= IMMEDIATE_WRITE_BYTES;
    if (isDue) this.writeNext();
    else this.delay ??= this.startDelay();
  }

  override flush(): void {
    const text = this.takePendingText();
    if (text === '') return;
    try {
      writeSync(STANDARD_OUTPUT_DESCRIPTOR, text);
    } catch {
      // The reader has closed the pipe, and the process has no other place to
      // report that.
      this.droppedLines += 1;
    }
  }

  private startDelay(): NodeJS.Timeout {
    const delay = setTimeout(() => this.writeNext(), WRITE_DELAY_MILLISECONDS);
    // A process that ends before the write flushes the lines.
    return delay.unref();
  }

  /**
   * Writes all pending lines, with at most one write in progress, so that a
   * stalled reader blocks only that write.
   */
  private writeNext(): void {
    clearTimeout(this.delay);
    this.delay = undefined;
    const text = this.takePendingText();
    if (text === '') return;
    this.writing = true;
    write(STANDARD_OUTPUT_DESCRIPTOR, text, () => {
      this.writing = false;
      this.writeNext();
    });
  }

  private takePendingText(): string {
    const notice =
      this.droppedLines > 0
        ? `{"message":"lines dropped","count":${this.droppedLines}}\n`
        : '';
    const text = this.pendingLines.join('') + notice;
    this.pendingLines = [];
    this.pendingBytes = 0;
    this.droppedLines = 0;
    return text;
  }
}
