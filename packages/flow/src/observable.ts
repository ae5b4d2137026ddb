/** A value that changes, and those who want to know of each change. */
export class Observable<T> {
  private listeners: ReadonlyArray<(value: T) => void> = [];

  private constructor(private value: T) {}

  /** Starts with `value`. */
  static of<T>(value: T): Observable<T> {
    return new Observable(value);
  }

  /** The newest value. */
  get current(): T {
    return this.value;
  }

  /** Replaces the value and tells every subscriber. */
  set(value: T): void {
    this.value = value;
    for (const listener of this.listeners) listener(value);
  }

  /** Calls `listener` on each later change, until the result is called. */
  subscribe(listener: (value: T) => void): () => void {
    this.listeners = [...this.listeners, listener];
    return () => {
      this.listeners = this.listeners.filter(other => other !== listener);
    };
  }

  /** Resolves with the first value, from now on, for which `test` holds. */
  until(test: (value: T) => boolean): Promise<T> {
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
