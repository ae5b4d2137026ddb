/**
 * A queue between tasks: producers push, one consumer takes in order. Closing
 * it lets the consumer take what is left and then gives `undefined`.
 */
export class AsyncQueue<T> {
  private items: T[] = [];
  private head = 0;
  private waiting: ((item: T | undefined) => void) | undefined;
  private closed = false;

  private constructor() {}

  /** An empty, open queue. */
  static create<T>(): AsyncQueue<T> {
    return new AsyncQueue<T>();
  }

  /** Items pushed and not yet taken. */
  get length(): number {
    return this.items.length - this.head;
  }

  /** Adds an item; on a closed queue it is dropped and `false` returned. */
  push(item: T): boolean {
    if (this.closed) return false;
    const waiting = this.waiting;
    if (waiting !== undefined) {
      this.waiting = undefined;
      waiting(item);
      return true;
    }
    this.items.push(item);
    return true;
  }

  /** The next item, or `undefined` once the queue is closed and empty. */
  take(): Promise<T | undefined> {
    if (this.length > 0) return Promise.resolve(this.shift());
    if (this.closed) return Promise.resolve(undefined);
    if (this.waiting !== undefined) {
      throw new Error('an AsyncQueue has one consumer');
    }
    return new Promise(resolve => {
      this.waiting = resolve;
    });
  }

  /** The next item if there is one now. */
  poll(): T | undefined {
    return this.length > 0 ? this.shift() : undefined;
  }

  /** Refuses further items and wakes the consumer. */
  close(): void {
    this.closed = true;
    const waiting = this.waiting;
    this.waiting = undefined;
    waiting?.(undefined);
  }

  private shift(): T {
    const item = this.items[this.head];
    this.head += 1;
    // Dropping the consumed part only when it is half of the array keeps the
    // cost of taking an item constant.
    if (this.head * 2 > this.items.length) {
      this.items = this.items.slice(this.head);
      this.head = 0;
    }
    return item as T;
  }
}
