import {Socket} from 'node:net';
import {AsyncQueue} from '@apricotlock/flow';

/**
 * Reads a socket through promises. Reading is paused while the buffered chunks
 * reach the maximum size, so that a slow reader cannot exhaust memory.
 */
export class ByteStream {
  private readonly chunks = AsyncQueue.create<Buffer>();
  private bufferedByteCount = 0;

  private constructor(
    readonly socket: Socket,
    private readonly maximumBufferedBytes: number,
  ) {
    socket.on('data', (chunk: Buffer) => this.handleChunk(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.chunks.close());
    socket.on('end', () => this.chunks.close());
  }

  /**
   * Creates a stream that takes over reading from `socket`, and pauses it while
   * `maximumBufferedBytes` or more are buffered.
   */
  static of(socket: Socket, maximumBufferedBytes: number): ByteStream {
    return new ByteStream(socket, maximumBufferedBytes);
  }

  /**
   * Returns the next chunk, or `undefined` once the other side has ended or the
   * socket has closed.
   */
  async read(): Promise<Buffer | undefined> {
    const chunk = await this.chunks.take();
    if (chunk === undefined) return undefined;
    this.bufferedByteCount -= chunk.length;
    if (this.bufferedByteCount < this.maximumBufferedBytes) {
      this.socket.resume();
    }
    return chunk;
  }

  /** The number of bytes that were received and not yet read. */
  get bufferedBytes(): number {
    return this.bufferedByteCount;
  }

  /**
   * Ends reading: what arrives from now on is discarded. Unread bytes would turn
   * the end of the connection into a reset, which can discard what was written.
   */
  endReading(): void {
    this.chunks.close();
    this.socket.resume();
  }

  /**
   * Writes bytes. Returns `false` if the socket is closed or its send buffer is
   * full. If it is full, await {@link ByteStream.waitForDrain} before writing
   * more.
   */
  write(bytes: Uint8Array): boolean {
    if (this.socket.destroyed || !this.socket.writable) return false;
    return this.socket.write(bytes);
  }

  /** Resolves once the send buffer has drained or the socket has closed. */
  waitForDrain(): Promise<void> {
    if (this.socket.destroyed || !this.socket.writableNeedDrain) {
      return Promise.resolve();
    }
    return new Promise(resolve => {
      const finish = () => {
        this.socket.off('drain', finish);
        this.socket.off('close', finish);
        resolve();
      };
      this.socket.on('drain', finish);
      this.socket.on('close', finish);
    });
  }

  private handleChunk(chunk: Buffer): void {
    if (!this.chunks.push(chunk)) return;
    this.bufferedByteCount += chunk.length;
    if (this.bufferedByteCount >= this.maximumBufferedBytes) {
      this.socket.pause();
    }
  }
}
