import {write, writeSync} from 'node:fs';

const STANDARD_OUTPUT = 1;
const MAXIMUM_WAITING_BYTES = 256 << 10;

/** Where lines go. */
export abstract class LogOutput {
  /** Takes a line; never waits. */
  abstract line(text: string): void;

  /** Writes what still waits, before the process ends. */
  abstract flush(): void;
}

/**
 * Standard output without waiting for whoever reads it. Lines wait in memory
 * up to a bound; over it they are dropped, and a line says how many.
 */
export class StandardOutput extends LogOutput {
  private waiting: string[] = [];
  private waitingBytes = 0;
  private dropped = 0;
  private writing = false;

  private constructor() {
    super();
  }

  /** The standard output of this process. */
  static create(): StandardOutput {
    return new StandardOutput();
  }

  override line(text: string): void {
    if (this.waitingBytes + text.length > MAXIMUM_WAITING_BYTES) {
      this.dropped += 1;
      return;
    }
    this.waiting.push(`${text}\n`);
    this.waitingBytes += text.length;
    if (!this.writing) this.writeNext();
  }

  override flush(): void {
    const text = this.takeAll();
    if (text === '') return;
    try {
      writeSync(STANDARD_OUTPUT, text);
    } catch {
      // Nobody reads any more, and there is no other place to say so.
      this.dropped += 1;
    }
  }

  /** One write at a time: a reader that has stopped holds up only that. */
  private writeNext(): void {
    const text = this.takeAll();
    if (text === '') return;
    this.writing = true;
    write(STANDARD_OUTPUT, text, () => {
      this.writing = false;
      this.writeNext();
    });
  }

  private takeAll(): string {
    const notice =
      this.dropped > 0
        ? `{"message":"lines dropped","count":${this.dropped}}\n`
        : '';
    const text = this.waiting.join('') + notice;
    this.waiting = [];
    this.waitingBytes = 0;
    this.dropped = 0;
    return text;
  }
}
