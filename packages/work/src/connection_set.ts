import {
  ConnectError,
  MemberConnector,
  MemberTarget,
} from '@apricotlock/statement';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {WorkConnection} from './work_connection.js';

const CONNECT_TIMEOUT_MILLISECONDS = 350;
const RETRY_MILLISECONDS = 150;
const CHECK_TIMEOUT_MILLISECONDS = 200;
const MAXIMUM_OPENING = 2;
const IDLE_LIMIT_MILLISECONDS = 20_000;
/** The same for a member that another VM works on as a rule. */
const SHORT_IDLE_LIMIT_MILLISECONDS = 1_500;
const IDLE_CHECK_MILLISECONDS = 1_000;
/** After a refusal for want of room, others may need it more. */
const FULL_RETRY_MILLISECONDS = 500;

/** How many connections there may be. */
export interface ConnectionLimits {
  /** At once, those being opened included. */
  readonly maximum: number;
  /** Kept open ahead of need. */
  readonly warm: number;
}

/** What a set of connections needs. */
export interface ConnectionSetOptions {
  readonly target: MemberTarget;
  readonly connector: MemberConnector;
  readonly timer: TimerService;
  /** A connection has become free. */
  readonly changed: () => void;
  /** A connection could not be opened. */
  readonly failed: (error: ConnectError) => void;
  /** A connection was opened. */
  readonly opened: () => void;
}

/** The connections of this VM to one member; never more than the maximum. */
export class ConnectionSet {
  private idle: readonly WorkConnection[] = [];
  private readonly lent = new Set<WorkConnection>();
  private opening = 0;
  private wanted = 0;
  private limits: ConnectionLimits = {maximum: 0, warm: 0};
  private closed = false;
  private pausedUntil = 0;
  private readonly stopChecking: Unsubscribe;

  private constructor(private readonly options: ConnectionSetOptions) {
    this.stopChecking = options.timer.every(IDLE_CHECK_MILLISECONDS, () =>
      this.closeUnused(),
    );
  }

  /** A set without connections. */
  static create(options: ConnectionSetOptions): ConnectionSet {
    return new ConnectionSet(options);
  }

  /** Connections that are open or being opened. */
  get count(): number {
    return this.idle.length + this.lent.size + this.opening;
  }

  /** How many more of the lent ones than idle ones there are. */
  get lentCount(): number {
    return this.lent.size;
  }

  /** How many connections are wanted now that none is free for. */
  want(count: number): void {
    this.wanted = count;
    this.openMore();
  }

  /** Takes over limits; what is over them goes once it is idle. */
  setLimits(limits: ConnectionLimits): void {
    this.limits = limits;
    this.openMore();
  }

  /** Takes the connection that was used last. */
  take(): WorkConnection | undefined {
    const usable = this.idle.filter(({member}) => member.usable);
    const chosen = usable.at(-1);
    this.idle = chosen === undefined ? usable : usable.slice(0, -1);
    if (chosen !== undefined) this.lent.add(chosen);
    return chosen;
  }

  /** Takes a lent connection back, for the next one who needs it. */
  put(connection: WorkConnection): void {
    this.lent.delete(connection);
    if (this.closed || !connection.member.usable || this.isOverFull) {
      connection.member.close();
      this.openMore();
      return;
    }
    connection.usedAt = this.options.timer.now();
    this.idle = [...this.idle, connection];
    this.options.changed();
  }

  /** Closes a lent connection. */
  discard(connection: WorkConnection): void {
    this.lent.delete(connection);
    connection.member.close();
    this.openMore();
  }

  /** Closes the idle connections that have gone silent. */
  async checkIdle(): Promise<void> {
    const {idle} = this;
    this.idle = [];
    for (const connection of idle) this.lent.add(connection);
    await Promise.all(idle.map(connection => this.check(connection)));
  }

  /** Closes every connection, lent ones too. */
  closeAll(): void {
    for (const {member} of [...this.idle, ...this.lent]) member.close();
    this.idle = [];
  }

  /** Closes every connection and opens no more. */
  close(): void {
    this.closed = true;
    this.stopChecking();
    this.closeAll();
  }

  private async check(connection: WorkConnection): Promise<void> {
    const answered = await connection.answers(CHECK_TIMEOUT_MILLISECONDS);
    if (answered) this.put(connection);
    else this.discard(connection);
  }

  private get isOverFull(): boolean {
    return this.count >= this.limits.maximum;
  }

  private openMore(): void {
    const {timer} = this.options;
    const {maximum, warm} = this.limits;
    if (this.closed || timer.now() < this.pausedUntil) return;
    while (this.opening < MAXIMUM_OPENING && this.count < maximum) {
      const ready = this.idle.length + this.opening;
      if (ready >= this.wanted && this.count >= warm) return;
      void this.openOne();
    }
  }

  private async openOne(): Promise<void> {
    const {connector, target, timer} = this.options;
    this.opening += 1;
    const opened = await connector.connect(
      target,
      CONNECT_TIMEOUT_MILLISECONDS,
    );
    this.opening -= 1;
    opened.caseOf({
      Left: error => this.connectFailed(error),
      Right: member => {
        const connection = WorkConnection.of(member, timer.now());
        void member.ended.then(() => this.forget(connection));
        this.options.opened();
        this.put(connection);
      },
    });
    this.openMore();
  }

  private connectFailed(error: ConnectError): void {
    if (this.closed) return;
    const {timer} = this.options;
    const full = error.kind === 'tooManyConnections';
    const pause = full ? FULL_RETRY_MILLISECONDS : RETRY_MILLISECONDS;
    this.pausedUntil = timer.now() + pause;
    timer.once(pause + 1, () => this.openMore());
    this.options.failed(error);
  }

  private forget(connection: WorkConnection): void {
    this.idle = this.idle.filter(each => each !== connection);
    this.openMore();
  }

  private closeUnused(): void {
    const {warm} = this.limits;
    const limit =
      warm > 0 ? IDLE_LIMIT_MILLISECONDS : SHORT_IDLE_LIMIT_MILLISECONDS;
    const oldest = this.options.timer.now() - limit;
    const unused = this.idle.filter(({usedAt}) => usedAt < oldest);
    const excess = Math.max(0, this.count - warm);
    const gone = unused.slice(0, excess);
    this.idle = this.idle.filter(each => !gone.includes(each));
    for (const {member} of gone) member.close();
  }
}
