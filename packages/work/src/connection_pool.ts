import {
  ConnectError,
  MemberConnector,
  MemberTarget,
} from '@apricotlock/statement';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {
  chooseIdle,
  chooseOpening,
  ConnectionDemand,
  MAXIMUM_CONCURRENT_OPENS,
  mustYield,
  OpeningChoice,
  PoolFacts,
} from './connection_choice.js';
import {ConnectionLimits} from './connection_limits.js';
import {LARGEST_WINDOW_FACTOR} from './statement_window.js';
import {WorkConnection} from './work_connection.js';

const CONNECT_TIMEOUT_MILLISECONDS = 350;
const CONNECT_RETRY_MILLISECONDS = 150;
const LIVENESS_CHECK_TIMEOUT_MILLISECONDS = 200;
const IDLE_TIMEOUT_MILLISECONDS = 20_000;
/** The idle timeout at a member that is normally used by another VM. */
const SHORT_IDLE_TIMEOUT_MILLISECONDS = 1_500;
const IDLE_CHECK_INTERVAL_MILLISECONDS = 1_000;
/**
 * The pause after a member has refused a connection because it has too many. It
 * is longer than that after other errors, to leave connections to other VMs.
 */
const TOO_MANY_CONNECTIONS_RETRY_MILLISECONDS = 500;

const WAIT = {kind: 'wait', until: undefined, isBlocked: false} as const;
const OPEN_FOR_NONE = {
  kind: 'open',
  organisation: undefined,
  replaced: undefined,
} as const;

type WaitChoice = Extract<OpeningChoice<WorkConnection>, {kind: 'wait'}>;

const NO_CONNECTIONS: ConnectionLimits = {
  maximum: 0,
  warm: 0,
  byOrganisation: false,
};

/** Options of a connection pool. */
export interface ConnectionPoolOptions {
  readonly target: MemberTarget;
  readonly connector: MemberConnector;
  readonly timer: TimerService;
  /** The number of statements that the member runs at once. */
  readonly slots: number;
  /** Called when a connection has become free. */
  readonly onAvailable: () => void;
  /** Called when a connection could not be opened. */
  readonly onConnectError: (
    error: ConnectError,
    organisation: string | undefined,
  ) => void;
  /** Called when a connection was opened. */
  readonly onOpened: () => void;
  /**
   * Called when a connection is closed to open one for another organisation.
   */
  readonly onReplaced: (connection: WorkConnection) => void;
  /**
   * Called when an organisation needs a connection and none can be opened or
   * replaced. Returns the time at which to call it again if that lasts.
   */
  readonly onBlocked: () => number | undefined;
}

/**
 * The connections of this VM to one member, up to a maximum number. A
 * connection that was opened for an organisation serves only work of that
 * organisation, and one that was opened for none serves only work without one.
 */
export class ConnectionPool {
  private idle: readonly WorkConnection[] = [];
  private readonly checkedOut = new Set<WorkConnection>();
  /** The organisation of each connection that is being opened. */
  private opening: ReadonlyArray<string | undefined> = [];
  private demands: readonly ConnectionDemand[] = [];
  private meanMilliseconds = 0;
  private limits = NO_CONNECTIONS;
  private closed = false;
  private pausedUntil = 0;
  /** Whether the member refused the last connection because it has too many. */
  private isMemberFull = false;
  private cancelRecheck: Unsubscribe = () => undefined;
  private readonly stopIdleChecks: Unsubscribe;

  private constructor(private readonly options: ConnectionPoolOptions) {
    this.stopIdleChecks = options.timer.every(
      IDLE_CHECK_INTERVAL_MILLISECONDS,
      () => this.closeUnused(),
    );
  }

  /** Creates a pool without connections. */
  static create(options: ConnectionPoolOptions): ConnectionPool {
    return new ConnectionPool(options);
  }

  /** The number of connections that are open or being opened. */
  get count(): number {
    return this.idle.length + this.checkedOut.size + this.opening.length;
  }

  /** Whether callers belong to organisations. */
  get servesOrganisations(): boolean {
    return this.limits.byOrganisation;
  }

  /** The number of checked-out connections. */
  get checkedOutCount(): number {
    return this.checkedOut.size;
  }

  /**
   * Sets the demands of waiting work, in the order in which it will be served,
   * with the mean duration of a statement, and opens connections accordingly.
   */
  requestConnections(
    demands: readonly ConnectionDemand[],
    meanMilliseconds: number,
  ): void {
    this.demands = demands;
    this.meanMilliseconds = meanMilliseconds;
    this.openMore();
  }

  /**
   * Sets the limits. Connections in excess of a lower maximum are closed at once
   * if they are idle, and otherwise when they are checked in: another VM may
   * open as many from now on.
   */
  setLimits(limits: ConnectionLimits): void {
    this.limits = limits;
    const excess = Math.max(0, this.count - limits.maximum);
    for (const {member} of this.idle.slice(0, excess)) member.close();
    this.idle = this.idle.slice(excess);
    this.openMore();
  }

  /**
   * Checks out the most recently used idle connection of an organisation, or
   * returns `undefined` if none of its connections is idle.
   */
  checkOut(organisation: string | undefined): WorkConnection | undefined {
    const usable = this.idle.filter(({member}) => member.usable);
    const index = chooseIdle(usable, organisation);
    const chosen = usable[index];
    this.idle = chosen === undefined ? usable : usable.toSpliced(index, 1);
    if (chosen === undefined) return undefined;
    chosen.checkedOutAt = this.options.timer.now();
    this.checkedOut.add(chosen);
    return chosen;
  }

  /**
   * Returns a checked-out connection to the pool, or closes it if it is not
   * usable or the pool is full or closed.
   */
  checkIn(connection: WorkConnection): void {
    this.checkedOut.delete(connection);
    connection.isInTransaction = false;
    if (connection.member.usable && this.mustYield(connection)) {
      connection.member.close();
      this.options.onReplaced(connection);
      this.openMore();
      return;
    }
    this.addIdle(connection);
  }

  /** Closes a checked-out connection instead of returning it to the pool. */
  discard(connection: WorkConnection): void {
    this.checkedOut.delete(connection);
    connection.member.close();
    this.openMore();
  }

  /**
   * Sends a reset on every idle connection and closes those that do not confirm
   * it in time. They count as checked out until then, so that no work uses
   * them.
   */
  async checkIdle(): Promise<void> {
    const {idle} = this;
    this.idle = [];
    for (const connection of idle) this.checkedOut.add(connection);
    await Promise.all(idle.map(connection => this.check(connection)));
  }

  /** Closes all connections, including those that are checked out. */
  closeAll(): void {
    for (const {member} of [...this.idle, ...this.checkedOut]) member.close();
    this.idle = [];
  }

  /** Closes all connections and opens no new ones. */
  close(): void {
    this.closed = true;
    this.stopIdleChecks();
    this.cancelRecheck();
    this.closeAll();
  }

  private async check(connection: WorkConnection): Promise<void> {
    const answers = await connection.checkAlive(
      LIVENESS_CHECK_TIMEOUT_MILLISECONDS,
    );
    if (answers) this.checkIn(connection);
    else this.discard(connection);
  }

  private mustYield(connection: WorkConnection): boolean {
    const {demands, closed, pausedUntil} = this;
    if (closed || demands.length < 2) return false;
    if (this.options.timer.now() < pausedUntil) return false;
    return mustYield(this.facts(), connection);
  }

  private addIdle(connection: WorkConnection): void {
    if (this.closed || !connection.member.usable || this.isFull) {
      connection.member.close();
      this.openMore();
      return;
    }
    connection.lastUsedAt = this.options.timer.now();
    this.idle = [...this.idle, connection];
    this.options.onAvailable();
  }

  private get isFull(): boolean {
    return this.count >= this.limits.maximum;
  }

  private openMore(): void {
    const {timer} = this.options;
    this.cancelRecheck();
    while (!this.closed && timer.now() >= this.pausedUntil) {
      const choice = this.nextOpening();
      if (choice.kind === 'wait') return this.handleWait(choice);
      const {organisation, replaced} = choice;
      if (replaced !== undefined) {
        this.idle = this.idle.filter(each => each !== replaced);
        replaced.member.close();
        this.options.onReplaced(replaced);
      }
      void this.openOne(organisation);
    }
  }

  private nextOpening(): OpeningChoice<WorkConnection> {
    const {opening, idle, demands, limits} = this;
    if (opening.length >= MAXIMUM_CONCURRENT_OPENS) return WAIT;
    const servesOrganisations =
      limits.byOrganisation ||
      demands.some(hasOrganisation) ||
      idle.some(hasOrganisation);
    if (servesOrganisations) {
      return demands.length === 0 ? WAIT : this.chooseForOrganisation();
    }
    // Work waits for a slot as well. More connections than statements that are
    // under way at once would not be used.
    const requested = Math.min(
      demands[0]?.waiting ?? 0,
      this.options.slots * LARGEST_WINDOW_FACTOR,
    );
    const ready = idle.length + opening.length;
    const isEnough = ready >= requested && this.count >= limits.warm;
    return this.isFull || isEnough ? WAIT : OPEN_FOR_NONE;
  }

  /**
   * While the member is full, this VM exchanges one of its idle connections if
   * it can. Warm ones are never closed as unused, so that an organisation
   * without a connection would otherwise wait for as long as other VMs use the
   * rest.
   */
  private chooseForOrganisation(): OpeningChoice<WorkConnection> {
    const facts = this.facts();
    if (this.isMemberFull) {
      const choice = chooseOpening({...facts, maximum: this.count});
      if (choice.kind === 'open') return choice;
    }
    return chooseOpening(facts);
  }

  private facts(): PoolFacts<WorkConnection> {
    const {idle, checkedOut, opening, demands, meanMilliseconds} = this;
    const {timer, slots} = this.options;
    const {maximum} = this.limits;
    return {
      idle,
      checkedOut,
      opening,
      demands,
      maximum,
      slots,
      meanMilliseconds,
      now: timer.now(),
    };
  }

  private handleWait({until, isBlocked}: WaitChoice): void {
    const {timer, onBlocked} = this.options;
    const blockedUntil = isBlocked ? onBlocked() : undefined;
    const time = Math.min(until ?? Infinity, blockedUntil ?? Infinity);
    if (time === Infinity) return;
    const delay = Math.max(1, time - timer.now());
    this.cancelRecheck = timer.once(delay, () => this.openMore());
  }

  private async openOne(organisation: string | undefined): Promise<void> {
    const {connector, target, timer} = this.options;
    this.opening = [...this.opening, organisation];
    const opened = await connector.connect(
      target,
      CONNECT_TIMEOUT_MILLISECONDS,
      organisation,
    );
    this.opening = this.opening.toSpliced(
      this.opening.indexOf(organisation),
      1,
    );
    opened.caseOf({
      Left: error => this.handleConnectError(error, organisation),
      Right: member => {
        const now = timer.now();
        const connection = WorkConnection.create(member, organisation, now);
        void member.ended.then(() => this.removeEnded(connection));
        this.isMemberFull = false;
        this.options.onOpened();
        this.addIdle(connection);
      },
    });
    this.openMore();
  }

  private handleConnectError(
    error: ConnectError,
    organisation: string | undefined,
  ): void {
    if (this.closed) return;
    const {timer} = this.options;
    this.isMemberFull = error.kind === 'tooManyConnections';
    const pause = this.isMemberFull
      ? TOO_MANY_CONNECTIONS_RETRY_MILLISECONDS
      : CONNECT_RETRY_MILLISECONDS;
    this.pausedUntil = timer.now() + pause;
    timer.once(pause + 1, () => this.openMore());
    this.options.onConnectError(error, organisation);
  }

  private removeEnded(connection: WorkConnection): void {
    this.idle = this.idle.filter(each => each !== connection);
    this.openMore();
  }

  private closeUnused(): void {
    const {warm} = this.limits;
    const limit =
      warm > 0 ? IDLE_TIMEOUT_MILLISECONDS : SHORT_IDLE_TIMEOUT_MILLISECONDS;
    const oldest = this.options.timer.now() - limit;
    const unused = this.idle.filter(({lastUsedAt}) => lastUsedAt < oldest);
    const excess = Math.max(0, this.count - warm);
    const expired = unused.slice(0, excess);
    this.idle = this.idle.filter(each => !expired.includes(each));
    for (const {member} of expired) member.close();
  }
}

function hasOrganisation({
  organisation,
}: WorkConnection | ConnectionDemand): boolean {
  return organisation !== undefined;
}
