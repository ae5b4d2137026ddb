/**
 * Waiting work of one flow. Sessions take turns; the work of one session keeps
 * its order. Adding and taking cost the same however many wait.
 */
export class SessionQueue<T> {
  private readonly sessions = new Map<string, readonly T[]>();
  private count = 0;

  private constructor() {}

  /** An empty queue. */
  static create<T>(): SessionQueue<T> {
    return new SessionQueue<T>();
  }

  /** How much work waits. */
  get length(): number {
    return this.count;
  }

  /** Adds work of a session. */
  push(session: string, item: T): void {
    const waiting = this.sessions.get(session) ?? [];
    this.sessions.set(session, [...waiting, item]);
    this.count += 1;
  }

  /** Takes the oldest work of the session whose turn it is. */
  shift(): T | undefined {
    const next = this.sessions.entries().next();
    if (next.done === true) return undefined;
    const [session, [item, ...rest]] = next.value;
    // Setting the session anew puts it behind all others.
    this.sessions.delete(session);
    if (rest.length > 0) this.sessions.set(session, rest);
    this.count -= 1;
    return item;
  }

  /** Removes work that waits no longer; `false` if it is not here. */
  remove(session: string, item: T): boolean {
    const waiting = this.sessions.get(session) ?? [];
    const rest = waiting.filter(other => other !== item);
    if (rest.length === waiting.length) return false;
    if (rest.length > 0) this.sessions.set(session, rest);
    else this.sessions.delete(session);
    this.count -= 1;
    return true;
  }
}
