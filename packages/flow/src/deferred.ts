/** A promise that somebody else settles. */
export class Deferred<T> {
  readonly promise: Promise<T>;
  private settle: (value: T) => void = () => undefined;

  private constructor() {
    this.promise = new Promise(resolve => {
      this.settle = resolve;
    });
  }

  /** An unsettled promise. */
  static create<T>(): Deferred<T> {
    return new Deferred<T>();
  }

  /** Settles the promise; later calls do nothing. */
  resolve(value: T): void {
    this.settle(value);
  }
}
