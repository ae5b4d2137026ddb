import {Either, Right} from 'purify-ts';
import {
  ConnectError,
  MemberConnection,
  MemberConnector,
  MemberTarget,
} from '@apricotlock/statement';
import {ManualTimerService} from '@apricotlock/timer';
import {ConnectionPool} from '../src/connection_pool.js';
import {WorkQueue} from '../src/index.js';
import {WorkConnection} from '../src/work_connection.js';
import {complete, FakeMemberConnection} from './fake_member.js';

export const SLOTS = 5;
const OPENING_MILLISECONDS = 12;
const NEVER = new Promise<never>(() => undefined);

/** A statement of the load. */
export interface Arrival {
  readonly at: number;
  readonly organisation: string;
}

/** What became of a statement. */
export interface Outcome extends Arrival {
  readonly waitMilliseconds: number;
  readonly refused: boolean;
}

/** A way to choose the order of statements and their connections. */
export interface Scheduler {
  run(arrival: Arrival): Promise<Outcome>;
}

/**
 * A member whose slots serve statements and openings, first come first served.
 */
export class SlottedMember extends MemberConnector {
  readonly timer = ManualTimerService.create();
  readonly connections: FakeMemberConnection[] = [];
  mostOpen = 0;
  private free = SLOTS;
  private readonly queued: Array<() => void> = [];

  constructor(private readonly statementMilliseconds: number) {
    super();
  }

  override async connect(
    _target: MemberTarget,
    _timeoutMilliseconds: number,
    organisation?: string,
  ): Promise<Either<ConnectError, MemberConnection>> {
    await this.occupySlot(OPENING_MILLISECONDS);
    const handler = async () => complete();
    const connection = new FakeMemberConnection(handler, organisation);
    this.connections.push(connection);
    const open = this.connections.filter(({closed}) => !closed).length;
    this.mostOpen = Math.max(this.mostOpen, open);
    return Right(connection);
  }

  async runStatement(): Promise<void> {
    await this.occupySlot(this.statementMilliseconds);
  }

  private async occupySlot(milliseconds: number): Promise<void> {
    if (this.free > 0) this.free -= 1;
    else await new Promise<void>(resolve => this.queued.push(resolve));
    await this.timer.sleep(milliseconds);
    const next = this.queued.shift();
    if (next === undefined) this.free += 1;
    else next();
  }
}

/** The scheduler under test: the queue with its connection pool. */
export class FairScheduler implements Scheduler {
  /** Statements that got a connection of another organisation. */
  mismatches = 0;
  /** Statements whose connection was closed before they ended. */
  interruptions = 0;
  private readonly pool: ConnectionPool;
  private readonly queue: WorkQueue<WorkConnection>;

  constructor(
    private readonly member: SlottedMember,
    maximum: number,
    private readonly waitLimitMilliseconds: number,
    private readonly objectiveMilliseconds: number,
  ) {
    const {timer} = member;
    this.pool = ConnectionPool.create({
      target: {database: 'd', name: 'm', host: 'h', port: 1},
      connector: member,
      timer,
      slots: SLOTS,
      onAvailable: () => this.queue.notifyConnectionAvailable(),
      onConnectError: () => undefined,
      onOpened: () => undefined,
      onReplaced: () => undefined,
      onBlocked: () => undefined,
    });
    this.queue = WorkQueue.create<WorkConnection>({
      slots: SLOTS,
      timer,
      takeConnection: organisation => this.pool.checkOut(organisation),
      requestConnections: (demands, mean) =>
        this.pool.requestConnections(demands, mean),
    });
    this.pool.setLimits({maximum, warm: SLOTS + 1, byOrganisation: true});
  }

  async run(arrival: Arrival): Promise<Outcome> {
    const {organisation, at} = arrival;
    const limit = this.waitLimitMilliseconds;
    const admission = await this.queue.acquireSlotAndConnection(
      {
        priority: 1,
        waitMilliseconds: limit,
        objectiveMilliseconds: this.objectiveMilliseconds,
        organisation,
      },
      NEVER,
    );
    const startedAt = this.member.timer.now();
    const waitMilliseconds = startedAt - at;
    if (admission.isLeft()) {
      return {...arrival, waitMilliseconds, refused: true};
    }
    const connection = admission.unsafeCoerce();
    if (connection.organisation !== organisation) this.mismatches += 1;
    await this.member.runStatement();
    if (!connection.member.usable) this.interruptions += 1;
    this.pool.checkIn(connection);
    this.queue.releaseSlot(this.member.timer.now() - startedAt);
    return {...arrival, waitMilliseconds, refused: false};
  }
}

/**
 * The baseline: statements are served in the order of arrival, and the idle
 * connection that is closed for another organisation is the one that was
 * returned last.
 */
export class FirstComeScheduler implements Scheduler {
  private readonly queue: Array<{organisation: string; start: () => void}> = [];
  private readonly idle: string[] = [];
  private count = 0;
  private running = 0;

  constructor(
    private readonly member: SlottedMember,
    private readonly maximum: number,
  ) {}

  async run(arrival: Arrival): Promise<Outcome> {
    const {organisation, at} = arrival;
    await new Promise<void>(start => {
      this.queue.push({organisation, start});
      this.dispatch();
    });
    const waitMilliseconds = this.member.timer.now() - at;
    await this.member.runStatement();
    this.running -= 1;
    this.idle.push(organisation);
    this.dispatch();
    return {...arrival, waitMilliseconds, refused: false};
  }

  private dispatch(): void {
    while (this.running < SLOTS && this.queue.length > 0) {
      const {organisation, start} =
        this.queue.shift() as (typeof this.queue)[0];
      this.running += 1;
      const own = this.idle.lastIndexOf(organisation);
      if (own >= 0) {
        this.idle.splice(own, 1);
        start();
        continue;
      }
      if (this.count < this.maximum) this.count += 1;
      else this.idle.pop();
      const target = {database: 'd', name: 'm', host: 'h', port: 1};
      void this.member.connect(target, 0, organisation).then(start);
    }
  }
}

/** Plays a load and resolves to the outcomes of the answered statements. */
export async function play(
  member: SlottedMember,
  scheduler: Scheduler,
  arrivals: readonly Arrival[],
): Promise<readonly Outcome[]> {
  const {timer} = member;
  const outcomes: Outcome[] = [];
  for (const arrival of arrivals) {
    timer.once(arrival.at, () => {
      void scheduler.run(arrival).then(outcome => outcomes.push(outcome));
    });
  }
  const end = arrivals.at(-1)?.at ?? 0;
  await timer.advanceAsync(end + 5_000);
  return outcomes;
}

/**
 * Returns the arrivals of an organisation at a mean rate, with a fixed seed.
 */
export function arrivalsOf(
  organisation: string,
  ratePerSecond: number,
  milliseconds: number,
  seed: number,
): readonly Arrival[] {
  const arrivals: Arrival[] = [];
  let state = seed;
  for (let at = 0; ;) {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    at += (-Math.log((state + 1) / 2 ** 32) * 1_000) / ratePerSecond;
    if (at > milliseconds) return arrivals;
    arrivals.push({at, organisation});
  }
}

/** Returns rates of organisations by Zipf's law, which add up to a total. */
export function zipfRates(
  count: number,
  exponent: number,
  total: number,
): ReadonlyMap<string, number> {
  const weights = Array.from({length: count}, (_, i) => (i + 1) ** -exponent);
  const sum = weights.reduce((left, right) => left + right);
  return new Map(weights.map((each, i) => [`org${i}`, (each / sum) * total]));
}
