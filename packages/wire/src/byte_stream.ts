import {Socket} from 'node:net';
import {AsyncQueue} from '@apricotlock/flow';

/**
 * A socket as a task reads it: chunks in order, then `undefined` at the end.
 * Reading is paused while more than a bound of bytes is waiting.
 */
export class ByteStream {
  private readonly chunks = AsyncQueue.create<Buffer>();
  private waitingBytes = 0;

  private constructor(
    readonly socket: Socket,
    private readonly maximumWaitingBytes: number,
  ) {
    socket.on('data', (chunk: Buffer) => this.received(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.chunks.close());
    socket.on('end', () => this.chunks.close());
  }

  /** Takes over the reading of `socket`. */
  static of(socket: Socket, maximumWaitingBytes: number): ByteStream {
    return new ByteStream(socket, maximumWaitingBytes);
  }

  /** The next chunk, or `undefined` once the other side has ended. */
  async read(): Promise<Buffer | undefined> {
    const chunk = await this.chunks.take();
    if (chunk === undefined) return undefined;
    this.waitingBytes -= chunk.length;
    if (this.waitingBytes < this.maximumWaitingBytes) this.socket.resume();
    return chunk;
  }

  /** Sends bytes; `false` means that the caller should wait for `drained`. */
  write(bytes: Uint8Array): boolean {
    if (this.socket.destroyed || !this.socket.writable) return false;
    return this.socket.write(bytes);
  }

  /** Resolves once the socket takes more bytes, or is closed. */
  drained(): Promise<void> {
    if (this.socket.destroyed || !this.socket.writableNeedDrain) {
      return Promise.resolve();
    }
    return new Promise(resolve => {
      const done = () => {
        this.socket.off('drain', done);
        this.socket.off('close', done);
        resolve();
      };
      this.socket.on('drain', done);
      this.socket.on('close', done);
    });
  }

  private received(chunk: Buffer): void {
    this.waitingBytes += chunk.length;
    this.chunks.push(chunk);
    if (this.waitingBytes >= this.maximumWaitingBytes) this.socket.pause();
  }
}
