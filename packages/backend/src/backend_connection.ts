import {Either, Left, Right} from 'purify-ts';
import {parsePosition, Position} from '@apricotlock/session';
import {TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {
  BackendType,
  Frame,
  FrontendType,
  OpenedBackend,
  queryMessage,
  readFirstValue,
  readReadyForQuery,
  sendCancelRequest,
  TransactionStatus,
} from '@apricotlock/wire';

const RESET_QUERY = queryMessage('DISCARD ALL');
const ROLLBACK_QUERY = queryMessage('ROLLBACK');
/**
 * Sync message, which the server answers with ReadyForQuery without running a
 * statement.
 */
const SYNC_MESSAGE = Buffer.from([FrontendType.SYNC, 0, 0, 0, 4]);

/**
 * Responses that start a COPY. The lease protocol cannot carry COPY data, so
 * the server would wait indefinitely; the exchange is failed instead.
 */
const COPY_RESPONSE_TYPES: ReadonlySet<number> = new Set([
  BackendType.COPY_BOTH_RESPONSE,
  BackendType.COPY_IN_RESPONSE,
  BackendType.COPY_OUT_RESPONSE,
]);
/** Time after a cancel request within which the statement must end. */
const CANCEL_TIMEOUT_MILLISECONDS = 1_000;

/**
 * The exchange failed before its answer was complete: the connection closed,
 * the server violated the protocol, or the relay rejected the answer.
 */
export interface ExchangeError {
  readonly kind: 'connectionLost';
}

/** State of the connection after a complete answer. */
export interface ExchangeResult {
  readonly status: TransactionStatus;
  /** The member's log position; `undefined` if it did not return one. */
  readonly position: Position | undefined;
}

/** The bytes to send on a connection, and how to handle the answer. */
export interface Exchange {
  readonly bytes: Buffer;
  /** Number of ReadyForQuery messages that end the answer to `bytes`. */
  readonly answers: number;
  /** Query for the member's log position, sent after `bytes`. */
  readonly positionQuery: Buffer;
  /**
   * Receives complete messages as they arrive; `false` fails the exchange and
   * leaves the connection unusable.
   */
  readonly relay: (bytes: Buffer) => true | Promise<boolean>;
}

/**
 * Result of a probe: the server replied, the connection has ended, or no reply
 * arrived within the timeout.
 */
export type ProbeResult = 'answered' | 'ended' | 'silent';

/** A connection to a member, on which at most one exchange runs at a time. */
export class BackendConnection {
  private inTransaction = false;
  private needsReset = false;
  private broken = false;
  /**
   * Whether a cancel request was sent. It travels on its own connection and may
   * reach the server late.
   */
  private cancelled = false;
  private exchangeCount = 0;

  /** When the connection was opened, in milliseconds on the timer's clock. */
  readonly openedAt: number;
  private lastReceivedAt: number;
  private abandoned = false;

  private constructor(
    private readonly opened: OpenedBackend,
    private readonly timer: TimerService,
  ) {
    this.openedAt = timer.now();
    this.lastReceivedAt = this.openedAt;
  }

  /** Wraps a newly opened connection. */
  static create(opened: OpenedBackend, timer: TimerService): BackendConnection {
    return new BackendConnection(opened, timer);
  }

  /** Milliseconds since bytes last arrived on the connection. */
  get silentMilliseconds(): number {
    return this.timer.now() - this.lastReceivedAt;
  }

  /** Whether {@link BackendConnection.clean} would run statements. */
  get needsCleaning(): boolean {
    return this.usable && (this.inTransaction || this.needsReset);
  }

  /** Whether the connection can carry another exchange. */
  get usable(): boolean {
    return !this.broken && !this.opened.stream.socket.destroyed;
  }

  /**
   * Sends statements and relays the answer. Resolves once the answer and the
   * member's position have arrived.
   */
  async exchange(
    exchange: Exchange,
  ): Promise<Either<ExchangeError, ExchangeResult>> {
    const {stream} = this.opened;
    // Unusable until the whole answer has been read.
    this.broken = true;
    this.exchangeCount += 1;
    stream.write(Buffer.concat([exchange.bytes, exchange.positionQuery]));
    const status = await this.relayAnswers(exchange);
    if (status === undefined) return Left({kind: 'connectionLost'});
    const position = await this.readPosition();
    if (position.isLeft()) return position as Either<ExchangeError, never>;
    this.broken = false;
    this.inTransaction = status !== 'idle';
    return Right({
      status,
      position: position.extract() as Position | undefined,
    });
  }

  /**
   * Marks the connection for a session reset, so that the next lease does not
   * see session state left by this one.
   */
  markForReset(): void {
    this.needsReset = true;
  }

  /**
   * Rolls back an open transaction and resets the session where needed.
   * Resolves to `false` if the connection must be closed instead.
   */
  async clean(): Promise<boolean> {
    // A late cancel request would cancel a statement of the next lease.
    if (!this.usable || this.cancelled) return false;
    if (this.inTransaction && !(await this.runCommand(ROLLBACK_QUERY))) {
      return false;
    }
    if (this.needsReset && !(await this.runCommand(RESET_QUERY))) return false;
    this.inTransaction = false;
    this.needsReset = false;
    return true;
  }

  /**
   * Checks that the server still replies on the connection. Any result other
   * than `answered` means that the connection must be closed.
   */
  async probe(timeoutMilliseconds: number): Promise<ProbeResult> {
    if (!this.usable) return 'ended';
    const succeeded = await withTimeout(
      this.timer,
      timeoutMilliseconds,
      this.runCommand(SYNC_MESSAGE),
    );
    if (succeeded === TIMED_OUT) return 'silent';
    return succeeded ? 'answered' : 'ended';
  }

  /**
   * Whether the connection was closed while the server may still be running a
   * statement.
   */
  get mayStillRun(): boolean {
    return this.abandoned;
  }

  /** Closes the connection immediately, although an answer is outstanding. */
  abandon(): void {
    this.abandoned = true;
    this.close();
  }

  /**
   * Asks the server to cancel the running statement. The connection is closed
   * if the answer does not arrive within {@link CANCEL_TIMEOUT_MILLISECONDS},
   * and is not used for another lease in any case.
   */
  cancel(): void {
    if (this.cancelled) return;
    this.cancelled = true;
    void sendCancelRequest(this.opened);
    const {exchangeCount} = this;
    this.timer.once(CANCEL_TIMEOUT_MILLISECONDS, () => {
      if (this.broken && this.exchangeCount === exchangeCount) this.close();
    });
  }

  /** Closes the connection immediately. */
  close(): void {
    this.broken = true;
    this.opened.stream.socket.destroy();
  }

  private async relayAnswers(
    exchange: Exchange,
  ): Promise<TransactionStatus | undefined> {
    let remainingAnswers = exchange.answers;
    for (;;) {
      const messages: Buffer[] = [];
      while (remainingAnswers > 0) {
        const frame = this.takeBufferedFrame();
        if (frame === undefined) break;
        if (COPY_RESPONSE_TYPES.has(frame.type)) return undefined;
        messages.push(frame.bytes);
        if (frame.type !== BackendType.READY_FOR_QUERY) continue;
        remainingAnswers -= 1;
        if (remainingAnswers > 0) continue;
        if (!(await relayMessages(exchange, messages))) return undefined;
        return readReadyForQuery(frame);
      }
      if (!(await relayMessages(exchange, messages))) return undefined;
      if (!(await this.readChunk())) return undefined;
    }
  }

  private async readPosition(): Promise<
    Either<ExchangeError, Position | undefined>
  > {
    let position: Position | undefined;
    for (;;) {
      const frame = await this.readFrame();
      if (frame === undefined) return Left({kind: 'connectionLost'});
      if (frame.type === BackendType.READY_FOR_QUERY) return Right(position);
      if (frame.type !== BackendType.DATA_ROW) continue;
      const text = readFirstValue(frame) ?? '';
      position = parsePosition(text).toMaybe().extract();
    }
  }

  private async runCommand(query: Buffer): Promise<boolean> {
    this.broken = true;
    this.opened.stream.write(query);
    let failed = false;
    for (;;) {
      const frame = await this.readFrame();
      if (frame === undefined) return false;
      if (frame.type === BackendType.ERROR_RESPONSE) failed = true;
      if (frame.type !== BackendType.READY_FOR_QUERY) continue;
      this.broken = failed;
      return !failed;
    }
  }

  private async readFrame(): Promise<Frame | undefined> {
    for (;;) {
      const frame = this.takeBufferedFrame();
      if (frame !== undefined) return frame;
      if (!(await this.readChunk())) return undefined;
    }
  }

  private takeBufferedFrame(): Frame | undefined {
    const next = this.opened.splitter.takeFrame();
    if (next.isLeft()) {
      this.close();
      return undefined;
    }
    return next.extract() as Frame | undefined;
  }

  private async readChunk(): Promise<boolean> {
    if (this.opened.stream.socket.destroyed) return false;
    const chunk = await this.opened.stream.read();
    if (chunk === undefined) return false;
    this.lastReceivedAt = this.timer.now();
    this.opened.splitter.push(chunk);
    return true;
  }
}

function relayMessages(
  {relay}: Exchange,
  messages: readonly Buffer[],
): true | Promise<boolean> {
  const [first] = messages;
  if (first === undefined) return true;
  return relay(messages.length === 1 ? first : Buffer.concat(messages));
}
