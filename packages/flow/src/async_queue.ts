/**
 * A FIFO queue with any number of producers and one consumer. After `close`,
 * the consumer can still take the remaining items and then gets `undefined`.
 */
export class AsyncQueue<T> {
  private items: T[] = [];
  private head = 0;
  private waitingConsumer: ((item: T | undefined) => void) | undefined;
  private closed = false;

  private constructor() {}

  /** Creates an empty, open queue. */
  static create<T>(): AsyncQueue<T> {
    return new AsyncQueue<T>();
  }

  /** The number of items that were pushed and not yet taken. */
  get length(): number {
    return this.items.length - this.head;
  }

  /** Adds an item. Returns `false` and drops it if the queue is closed. */
  push(item: T): boolean {
    if (this.closed) return false;
    const waitingConsumer = this.waitingConsumer;
    if (waitingConsumer !== undefined) {
      this.waitingConsumer = undefined;
      waitingConsumer(item);
      return true;
    }
    this.items.push(item);
    return true;
  }

  /**
   * Removes the next item and resolves to it, waiting for one if necessary, or
   * resolves to `undefined` if the queue is closed and empty. Throws if
   * another `take` is still waiting.
   */
  take(): Promise<T | undefined> {
    if (this.length > 0) return Promise.resolve(this.shift());
    if (this.closed) return Promise.resolve(undefined);
    if (this.waitingConsumer !== undefined) {
      throw new Error('AsyncQueue.take called while another take is waiting');
    }
    return new Promise(resolve => {
      this.waitingConsumer = resolve;
    });
  }

  /** Removes and returns the next item, or `undefined` if there is none now. */
  poll(): T | undefined {
    return this.length > 0 ? this.shift() : undefined;
  }

  /** Rejects further items and wakes a waiting consumer. */
  close(): void {
    this.closed = true;
    const waitingConsumer = this.waitingConsumer;
    this.waitingConsumer = undefined;
    waitingConsumer?.(undefined);
  }

  private shift(): T {
    const item = this.items[this.head];
    this.head += 1;
    // Removing the consumed items only when they make up half of the array
    // keeps the amortized cost of taking an item constant.
    if (this.head * 2 > this.items.length) {
      this.items = this.items.slice(this.head);
      this.head = 0;
    }
    return item as T;
  }
}
