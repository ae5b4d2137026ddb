import {write, writeSync} from 'node:fs';

const STANDARD_OUTPUT_DESCRIPTOR = 1;
const MAXIMUM_PENDING_BYTES = 256 << 10;

/** A destination of log lines. */
export abstract class LogOutput {
  /** Accepts a line for writing, without blocking. */
  abstract writeLine(text: string): void;

  /** Writes pending lines synchronously, for use before the process ends. */
  abstract flush(): void;
}

/**
 * Writes lines to standard output without blocking when the reader is slow.
 * Pending lines are buffered up to a limit; lines beyond it are dropped, and a
 * notice reports their number.
 */
export class StandardOutput extends LogOutput {
  private pendingLines: string[] = [];
  private pendingBytes = 0;
  private droppedLines = 0;
  private writing = false;

  private constructor() {
    super();
  }

  /** Creates an output to the standard output of this process. */
  static create(): StandardOutput {
    return new StandardOutput();
  }

  override writeLine(text: string): void {
    if (this.pendingBytes + text.length > MAXIMUM_PENDING_BYTES) {
      this.droppedLines += 1;
      return;
    }
    this.pendingLines.push(`${text}\n`);
    this.pendingBytes += text.length;
    if (!this.writing) this.writeNext();
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

  /**
   * Writes all pending lines, with at most one write in progress, so that a
   * stalled reader blocks only that write.
   */
  private writeNext(): void {
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
