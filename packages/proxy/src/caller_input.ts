import {Either, Right} from 'purify-ts';
import {AcceptedCaller, Frame, FrameError} from '@apricotlock/wire';
import {BatchCollector, CollectedStep} from './batch_collector.js';

/** Reads the batches of one caller. */
export class CallerInput {
  private readonly collector = BatchCollector.create();

  private constructor(private readonly caller: AcceptedCaller) {}

  /** Creates the input of a caller that may send statements. */
  static create(caller: AcceptedCaller): CallerInput {
    return new CallerInput(caller);
  }

  /** Whether a request has arrived, at least in part, and was not returned. */
  get pending(): boolean {
    const {stream, splitter} = this.caller;
    const bufferedBytes = stream.bufferedBytes + splitter.bufferedBytes;
    return bufferedBytes > 0 || this.collector.collecting;
  }

  /**
   * Returns the next step that isn't incomplete, or `undefined` once the caller
   * has disconnected or the input has ended.
   */
  async next(): Promise<Either<FrameError, CollectedStep | undefined>> {
    for (;;) {
      const frame = await this.nextFrame();
      if (frame.isLeft()) return frame as Either<FrameError, never>;
      const message = frame.unsafeCoerce();
      if (message === undefined) return Right(undefined);
      const step = this.collector.push(message);
      if (step.kind !== 'incomplete') return Right(step);
    }
  }

  /** Discards the messages up to the next Sync after an error was reported. */
  skipToSync(): void {
    this.collector.skipToSync();
  }

  /** Ends the input: what arrives from now on is discarded. */
  end(): void {
    this.caller.stream.endReading();
  }

  private async nextFrame(): Promise<Either<FrameError, Frame | undefined>> {
    const {stream, splitter} = this.caller;
    for (;;) {
      const next = splitter.takeFrame();
      if (next.isLeft() || next.extract() !== undefined) return next;
      const chunk = await stream.read();
      if (chunk === undefined) return Right(undefined);
      splitter.push(chunk);
    }
  }
}
