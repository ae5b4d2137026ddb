/** A mutable value that notifies its subscribers of each change. */
export class Observable<T> {
  private listeners: ReadonlyArray<(value: T) => void> = [];

  private constructor(private value: T) {}

  /** Creates an observable whose first value is `value`. */
  static of<T>(value: T): Observable<T> {
    return new Observable(value);
  }

  /** The current value. */
  get current(): T {
    return this.value;
  }

  /** Replaces the value and calls every subscriber with it. */
  set(value: T): void {
    this.value = value;
    for (const listener of this.listeners) listener(value);
  }

  /**
   * Calls `listener` on each later change. Returns a function that cancels the
   * subscription.
   */
  subscribe(listener: (value: T) => void): () => void {
    this.listeners = [...this.listeners, listener];
    return () => {
      this.listeners = this.listeners.filter(other => other !== listener);
    };
  }

  /**
   * Resolves to the current value if it satisfies `test`, otherwise to the
   * first later value that does.
   */
  waitUntil(test: (value: T) => boolean): Promise<T> {
    if (test(this.value)) return Promise.resolve(this.value);
    return new Promise(resolve => {
      const stop = this.subscribe(value => {
        if (!test(value)) return;
        stop();
        resolve(value);
      });
    });
  }
}
