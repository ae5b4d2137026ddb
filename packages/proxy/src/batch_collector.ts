import {Frame, FrontendType} from '@apricotlock/wire';

/** Maximum size of the messages before a Sync, which are kept in memory. */
const MAXIMUM_BATCH_BYTES = 64 << 20;
const KNOWN_TYPES: ReadonlySet<number> = new Set(Object.values(FrontendType));

/** Result of adding a message to the current batch. */
export type CollectedStep =
  /** The batch needs more messages. */
  | {readonly kind: 'incomplete'}
  /** The batch is complete. */
  | {readonly kind: 'batch'; readonly frames: readonly Frame[]}
  /** The caller expects the answers to these messages before it continues. */
  | {readonly kind: 'flush'; readonly frames: readonly Frame[]}
  /** Sync after an error; the answer is only a ReadyForQuery. */
  | {readonly kind: 'skipped'}
  /** The caller ends the session. */
  | {readonly kind: 'end'}
  /** The rest of the stream cannot be read; the session must end. */
  | {readonly kind: 'tooLong' | 'unknownMessage'};

/** Collects a caller's messages into batches. */
export class BatchCollector {
  private frames: Frame[] = [];
  private batchBytes = 0;
  private skippingToSync = false;

  private constructor() {}

  /** Creates the collector of a new session. */
  static create(): BatchCollector {
    return new BatchCollector();
  }

  /** Whether a batch has begun and is not complete. */
  get collecting(): boolean {
    return this.frames.length > 0;
  }

  /** Adds the next message. */
  push(frame: Frame): CollectedStep {
    switch (frame.type) {
      case FrontendType.TERMINATE:
        return {kind: 'end'};
      case FrontendType.COPY_DATA:
      case FrontendType.COPY_DONE:
      case FrontendType.COPY_FAIL:
        // Remaining messages of a refused COPY; PostgreSQL ignores them, too.
        return {kind: 'incomplete'};
      case FrontendType.QUERY:
      case FrontendType.FUNCTION_CALL:
      case FrontendType.SYNC:
        return this.endBatch(frame);
      case FrontendType.FLUSH:
        return this.flush();
      default:
        return this.append(frame);
    }
  }

  /** Discards all messages up to the next Sync after an error was reported. */
  skipToSync(): void {
    this.frames = [];
    this.batchBytes = 0;
    this.skippingToSync = true;
  }

  private append(frame: Frame): CollectedStep {
    if (!KNOWN_TYPES.has(frame.type)) return {kind: 'unknownMessage'};
    if (this.skippingToSync) return {kind: 'incomplete'};
    this.batchBytes += frame.bytes.length;
    if (this.batchBytes > MAXIMUM_BATCH_BYTES) return {kind: 'tooLong'};
    this.frames.push(frame);
    return {kind: 'incomplete'};
  }

  private endBatch(frame: Frame): CollectedStep {
    if (this.skippingToSync) {
      if (frame.type !== FrontendType.SYNC) return {kind: 'incomplete'};
      this.skippingToSync = false;
      return {kind: 'skipped'};
    }
    const frames = [...this.frames, frame];
    this.frames = [];
    this.batchBytes = 0;
    return {kind: 'batch', frames};
  }

  private flush(): CollectedStep {
    if (this.frames.length === 0) return {kind: 'incomplete'};
    return {kind: 'flush', frames: [...this.frames]};
  }
}
