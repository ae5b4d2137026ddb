import {Frame, FrontendType} from '@apricotlock/wire';

const MAXIMUM_BATCH_BYTES = 64 << 20;
const KNOWN_TYPES: ReadonlySet<number> = new Set(Object.values(FrontendType));

/** What a message means for the batch that it belongs to. */
export type CollectedStep =
  | {readonly kind: 'goOn'}
  /** The batch is whole. */
  | {readonly kind: 'batch'; readonly frames: readonly Frame[]}
  /** The caller waits for the answers to these, and then goes on. */
  | {readonly kind: 'flush'; readonly frames: readonly Frame[]}
  /** Sync after an error: only its ReadyForQuery is owed. */
  | {readonly kind: 'skipped'}
  | {readonly kind: 'end'}
  /** The stream cannot be served any more. */
  | {readonly kind: 'tooLong' | 'unknownMessage'};

/** Collects a caller's messages into batches. */
export class BatchCollector {
  private frames: Frame[] = [];
  private bytes = 0;
  private skipping = false;

  private constructor() {}

  /** A collector for a new session. */
  static create(): BatchCollector {
    return new BatchCollector();
  }

  /** Takes the next message. */
  take(frame: Frame): CollectedStep {
    switch (frame.type) {
      case FrontendType.TERMINATE:
        return {kind: 'end'};
      case FrontendType.COPY_DATA:
      case FrontendType.COPY_DONE:
      case FrontendType.COPY_FAIL:
        // What is left of a COPY that was refused; PostgreSQL drops it too.
        return {kind: 'goOn'};
      case FrontendType.QUERY:
      case FrontendType.FUNCTION_CALL:
      case FrontendType.SYNC:
        return this.endBatch(frame);
      case FrontendType.FLUSH:
        return this.flush();
      default:
        return this.add(frame);
    }
  }

  /** Drops the batch up to its Sync: an error has been told. */
  skipToSync(): void {
    this.frames = [];
    this.bytes = 0;
    this.skipping = true;
  }

  private add(frame: Frame): CollectedStep {
    if (!KNOWN_TYPES.has(frame.type)) return {kind: 'unknownMessage'};
    if (this.skipping) return {kind: 'goOn'};
    this.bytes += frame.bytes.length;
    if (this.bytes > MAXIMUM_BATCH_BYTES) return {kind: 'tooLong'};
    this.frames.push(frame);
    return {kind: 'goOn'};
  }

  private endBatch(frame: Frame): CollectedStep {
    if (this.skipping) {
      if (frame.type !== FrontendType.SYNC) return {kind: 'goOn'};
      this.skipping = false;
      return {kind: 'skipped'};
    }
    const frames = [...this.frames, frame];
    this.frames = [];
    this.bytes = 0;
    return {kind: 'batch', frames};
  }

  private flush(): CollectedStep {
    if (this.frames.length === 0) return {kind: 'goOn'};
    return {kind: 'flush', frames: [...this.frames]};
  }
}
