import {Duplex} from 'node:stream';
import {Socket} from 'node:net';
import {Left, Right} from 'purify-ts';
import {TimerService} from '@apricotlock/timer';
import {
  ByteStream,
  FrameSplitter,
  readyForQuery,
  TransactionStatus,
} from '@apricotlock/wire';
import {ConnectionPool, OpenConnection} from '../src/connection_pool.js';
import {OwnerLimits} from '../src/owner_limits.js';
import {WorkRequest, WorkScheduler} from '../src/work_scheduler.js';

const MAXIMUM_BYTES = 1 << 20;

/**
 * The server's side of connections. Answers each message with ReadyForQuery,
 * withholds its answers, or stays silent.
 */
export class FakeBackend {
  openedCount = 0;
  silent = false;
  refusesConnections = false;
  holdsAnswers = false;
  status: TransactionStatus = 'idle';
  readonly received: string[] = [];
  private readonly heldAnswers: Array<() => void> = [];
  readonly abortSignals: AbortSignal[] = [];

  readonly open: OpenConnection = async abort => {
    this.abortSignals.push(abort);
    if (this.refusesConnections) {
      const error = {severity: 'FATAL', code: '53300', message: 'full'};
      return Left({kind: 'refused', error} as never);
    }
    this.openedCount += 1;
    const stream = ByteStream.of(this.socket(), MAXIMUM_BYTES);
    const splitter = FrameSplitter.create(MAXIMUM_BYTES, 'regular');
    return Right({stream, splitter, processId: this.openedCount, secret: 0});
  };

  /** Sends the withheld answers and stops withholding. */
  release(): void {
    this.holdsAnswers = false;
    this.heldAnswers.splice(0).forEach(answer => answer());
  }

  private socket(): Socket {
    // A connection that has become silent stays silent.
    let isSilent = false;
    const splitter = FrameSplitter.create(MAXIMUM_BYTES, 'regular');
    const socket: Duplex = new Duplex({
      read: () => undefined,
      write: (chunk: Buffer, _encoding, done) => {
        splitter.push(chunk);
        const frames = splitter.drain().orDefault([]);
        this.received.push(...frames.map(({bytes}) => bytes.toString()));
        isSilent = isSilent || this.silent;
        const answer = () =>
          frames.forEach(() => socket.push(readyForQuery(this.status)));
        if (this.holdsAnswers) this.heldAnswers.push(answer);
        else if (!isSilent) answer();
        done();
      },
    });
    return socket as Socket;
  }
}

/**
 * Creates the allowance of one entry; limits that are not given have defaults.
 */
export function allowance(
  entry: string,
  limits: Partial<OwnerLimits['entries'][number]['limits']> = {},
  weight = 1,
): OwnerLimits['entries'][number] {
  return {
    entry,
    weight,
    limits: {
      connections: 4,
      slots: 2,
      queueLength: 1_000,
      queueMilliseconds: 1_000,
      ...limits,
    },
  };
}

/**
 * Creates owner limits for several entries; `slots` limits all of them
 * together.
 */
export function limitsOf(
  entries: OwnerLimits['entries'],
  slots = Infinity,
): OwnerLimits {
  return {entries, connections: 100, slots};
}

/** Creates a scheduler over fake connections. */
export function schedulerOver(
  backend: FakeBackend,
  limits: OwnerLimits,
  timer: TimerService,
): {readonly pool: ConnectionPool; readonly scheduler: WorkScheduler} {
  const pool = ConnectionPool.create(backend.open, timer);
  return {pool, scheduler: WorkScheduler.create({pool, limits, timer})};
}

/** Creates a request of an entry's session; other fields have defaults. */
export function workRequest(
  entry: string,
  session: string,
  overrides: Partial<WorkRequest> = {},
): WorkRequest {
  return {
    entry,
    session,
    purpose: 'write',
    waitMilliseconds: 1_000,
    abandoned: new Promise(() => undefined),
    ...overrides,
  };
}

/** Lets all pending callbacks run without advancing the timer. */
export async function settle(): Promise<void> {
  for (let round = 0; round < 20; round++) {
    await new Promise(resolve => setImmediate(resolve));
  }
}
