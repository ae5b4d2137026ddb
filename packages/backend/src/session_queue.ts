/**
 * Queue of the requests of one entry and purpose. Sessions are served round
 * robin; items of one session stay in order. The cost of adding and removing does not depend on the number of
 * sessions that wait.
 */
export class SessionQueue<T> {
  private readonly itemsBySession = new Map<string, readonly T[]>();
  private count = 0;

  private constructor() {}

  /** Creates an empty queue. */
  static create<T>(): SessionQueue<T> {
    return new SessionQueue<T>();
  }

  /** Number of items in the queue. */
  get length(): number {
    return this.count;
  }

  /** Appends an item of a session. */
  push(session: string, item: T): void {
    const waiting = this.itemsBySession.get(session) ?? [];
    this.itemsBySession.set(session, [...waiting, item]);
    this.count += 1;
  }

  /**
   * Removes and returns the oldest item of the session that is next in the
   * round robin; `undefined` if the queue is empty.
   */
  shift(): T | undefined {
    const next = this.itemsBySession.entries().next();
    if (next.done === true) return undefined;
    const [session, [item, ...rest]] = next.value;
    // Deleting and setting the key moves the session behind all others.
    this.itemsBySession.delete(session);
    if (rest.length > 0) this.itemsBySession.set(session, rest);
    this.count -= 1;
    return item;
  }

  /** Removes an item; `false` if it is not in the queue. */
  remove(session: string, item: T): boolean {
    const waiting = this.itemsBySession.get(session) ?? [];
    const rest = waiting.filter(other => other !== item);
    if (rest.length === waiting.length) return false;
    if (rest.length > 0) this.itemsBySession.set(session, rest);
    else this.itemsBySession.delete(session);
    this.count -= 1;
    return true;
  }
}
