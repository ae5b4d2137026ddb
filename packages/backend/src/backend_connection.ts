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
/** A Sync: the server answers it without running anything. */
const PROBE = Buffer.from([FrontendType.SYNC, 0, 0, 0, 4]);

/** COPY would wait for the caller, whom it does not reach. */
const COPY_TYPES: ReadonlySet<number> = new Set([
  BackendType.COPY_BOTH_RESPONSE,
  BackendType.COPY_IN_RESPONSE,
  BackendType.COPY_OUT_RESPONSE,
]);
/** How long a cancelled statement may take to end. */
const CANCEL_LIMIT_MILLISECONDS = 1_000;

/** The connection ended, or broke the protocol, in the middle of an answer. */
export interface ExchangeError {
  readonly kind: 'connectionLost';
}

/** How a member ended its answer. */
export interface ExchangeEnd {
  readonly status: TransactionStatus;
  readonly position: Position | undefined;
}

/** What is sent, and what is expected of the answer. */
export interface Exchange {
  readonly bytes: Buffer;
  /** How many times the member will say that it is ready. */
  readonly answers: number;
  /** Asks the member for its position once it has answered the rest. */
  readonly positionQuery: Buffer;
  /** Takes whole messages as they come; `false` ends the connection. */
  readonly relay: (bytes: Buffer) => true | Promise<boolean>;
}

/** What became of a round trip that runs nothing. */
export type ProbeResult = 'answered' | 'ended' | 'silent';

/** One connection to a member. At most one exchange is under way on it. */
export class BackendConnection {
  private inTransaction = false;
  private needsReset = false;
  private broken = false;
  /** Whether a cancel may still be on its way to the server. */
  private cancelled = false;
  private exchanges = 0;

  /** When it was opened, on the timer's clock. */
  readonly openedAt: number;
  private lastHeardAt: number;
  private abandoned = false;

  private constructor(
    private readonly opened: OpenedBackend,
    private readonly timer: TimerService,
  ) {
    this.openedAt = timer.now();
    this.lastHeardAt = this.openedAt;
  }

  /** A connection that has just been opened. */
  static of(opened: OpenedBackend, timer: TimerService): BackendConnection {
    return new BackendConnection(opened, timer);
  }

  /** How long nothing has come on it, in milliseconds. */
  get silentMilliseconds(): number {
    return this.timer.now() - this.lastHeardAt;
  }

  /** Whether {@link BackendConnection.clean} would run anything. */
  get needsCleaning(): boolean {
    return this.usable && (this.inTransaction || this.needsReset);
  }

  /** Whether it can be used for another exchange. */
  get usable(): boolean {
    return !this.broken && !this.opened.stream.socket.destroyed;
  }

  /** Sends statements and relays the answer. */
  async exchange(
    exchange: Exchange,
  ): Promise<Either<ExchangeError, ExchangeEnd>> {
    const {stream} = this.opened;
    // Until the whole answer has come, an answer is owed on this connection.
    this.broken = true;
    this.exchanges += 1;
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

  /** Remembers that the next holder must not find what this one left. */
  markForReset(): void {
    this.needsReset = true;
  }

  /** Makes the connection as new; `false` if it has to be closed. */
  async clean(): Promise<boolean> {
    // A late cancel would meet the next holder's statement.
    if (!this.usable || this.cancelled) return false;
    if (this.inTransaction && !(await this.command(ROLLBACK_QUERY))) {
      return false;
    }
    if (this.needsReset && !(await this.command(RESET_QUERY))) return false;
    this.inTransaction = false;
    this.needsReset = false;
    return true;
  }

  /** Whether the server still answers on it; if not, it has to be closed. */
  async probe(timeoutMilliseconds: number): Promise<ProbeResult> {
    if (!this.usable) return 'ended';
    const answered = await withTimeout(
      this.timer,
      timeoutMilliseconds,
      this.command(PROBE),
    );
    if (answered === TIMED_OUT) return 'silent';
    return answered ? 'answered' : 'ended';
  }

  /** Whether it was closed while the server may have been running something. */
  get mayStillRun(): boolean {
    return this.abandoned;
  }

  /** Ends the connection at once, although an answer is owed on it. */
  abandon(): void {
    this.abandoned = true;
    this.close();
  }

  /**
   * Asks the server to cancel the statement that it runs. If its answer does
   * not come soon the connection is closed; nobody else has it afterwards.
   */
  cancel(): void {
    if (this.cancelled) return;
    this.cancelled = true;
    void sendCancelRequest(this.opened);
    const {exchanges} = this;
    this.timer.once(CANCEL_LIMIT_MILLISECONDS, () => {
      if (this.broken && this.exchanges === exchanges) this.close();
    });
  }

  /** Ends the connection at once. */
  close(): void {
    this.broken = true;
    this.opened.stream.socket.destroy();
  }

  private async relayAnswers(
    exchange: Exchange,
  ): Promise<TransactionStatus | undefined> {
    let owed = exchange.answers;
    for (;;) {
      const relayed: Buffer[] = [];
      while (owed > 0) {
        const frame = this.nextBuffered();
        if (frame === undefined) break;
        if (COPY_TYPES.has(frame.type)) return undefined;
        relayed.push(frame.bytes);
        if (frame.type !== BackendType.READY_FOR_QUERY) continue;
        owed -= 1;
        if (owed > 0) continue;
        if (!(await passedOn(exchange, relayed))) return undefined;
        return readReadyForQuery(frame);
      }
      if (!(await passedOn(exchange, relayed))) return undefined;
      if (!(await this.readMore())) return undefined;
    }
  }

  private async readPosition(): Promise<
    Either<ExchangeError, Position | undefined>
  > {
    let position: Position | undefined;
    for (;;) {
      const frame = await this.nextFrame();
      if (frame === undefined) return Left({kind: 'connectionLost'});
      if (frame.type === BackendType.READY_FOR_QUERY) return Right(position);
      if (frame.type !== BackendType.DATA_ROW) continue;
      const text = readFirstValue(frame) ?? '';
      position = parsePosition(text).toMaybe().extract();
    }
  }

  private async command(query: Buffer): Promise<boolean> {
    this.broken = true;
    this.opened.stream.write(query);
    let failed = false;
    for (;;) {
      const frame = await this.nextFrame();
      if (frame === undefined) return false;
      if (frame.type === BackendType.ERROR_RESPONSE) failed = true;
      if (frame.type !== BackendType.READY_FOR_QUERY) continue;
      this.broken = failed;
      return !failed;
    }
  }

  private async nextFrame(): Promise<Frame | undefined> {
    for (;;) {
      const frame = this.nextBuffered();
      if (frame !== undefined) return frame;
      if (!(await this.readMore())) return undefined;
    }
  }

  private nextBuffered(): Frame | undefined {
    const next = this.opened.splitter.next();
    if (next.isLeft()) {
      this.close();
      return undefined;
    }
    return next.extract() as Frame | undefined;
  }

  private async readMore(): Promise<boolean> {
    if (this.opened.stream.socket.destroyed) return false;
    const chunk = await this.opened.stream.read();
    if (chunk === undefined) return false;
    this.lastHeardAt = this.timer.now();
    this.opened.splitter.push(chunk);
    return true;
  }
}

function passedOn(
  {relay}: Exchange,
  messages: readonly Buffer[],
): true | Promise<boolean> {
  const [first] = messages;
  if (first === undefined) return true;
  return relay(messages.length === 1 ? first : Buffer.concat(messages));
}
