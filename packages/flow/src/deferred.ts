/** A promise together with the function that resolves it. */
export class Deferred<T> {
  readonly promise: Promise<T>;
  private settle: (value: T) => void = () => undefined;

  private constructor() {
    this.promise = new Promise(resolve => {
      this.settle = resolve;
    });
  }

  /** Creates a deferred whose promise is pending. */
  static create<T>(): Deferred<T> {
    return new Deferred<T>();
  }

  /** Resolves the promise; later calls have no effect. */
  resolve(value: T): void {
    this.settle(value);
  }
}
