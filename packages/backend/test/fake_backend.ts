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

/** A server's side of connections that answers every message, or is silent. */
export class FakeBackend {
  opened = 0;
  silent = false;
  refuses = false;
  held = false;
  status: TransactionStatus = 'idle';
  readonly received: string[] = [];
  private readonly answers: Array<() => void> = [];
  readonly aborted: AbortSignal[] = [];

  readonly open: OpenConnection = async abort => {
    this.aborted.push(abort);
    if (this.refuses) {
      const error = {severity: 'FATAL', code: '53300', message: 'full'};
      return Left({kind: 'refused', error} as never);
    }
    this.opened += 1;
    const stream = ByteStream.of(this.socket(), MAXIMUM_BYTES);
    const splitter = FrameSplitter.create(MAXIMUM_BYTES, 'regular');
    return Right({stream, splitter, processId: this.opened, secret: 0});
  };

  /** Sends the answers that were held back. */
  release(): void {
    this.held = false;
    this.answers.splice(0).forEach(answer => answer());
  }

  private socket(): Socket {
    // A connection that has gone silent stays so.
    let forgotten = false;
    const splitter = FrameSplitter.create(MAXIMUM_BYTES, 'regular');
    const socket: Duplex = new Duplex({
      read: () => undefined,
      write: (chunk: Buffer, _encoding, done) => {
        splitter.push(chunk);
        const frames = splitter.drain().orDefault([]);
        this.received.push(...frames.map(({bytes}) => bytes.toString()));
        forgotten = forgotten || this.silent;
        const answer = () =>
          frames.forEach(() => socket.push(readyForQuery(this.status)));
        if (this.held) this.answers.push(answer);
        else if (!forgotten) answer();
        done();
      },
    });
    return socket as Socket;
  }
}

/** Limits of one entry, with others by default. */
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

/** Limits of several entries, with or without a bound to all of them. */
export function limitsOf(
  entries: OwnerLimits['entries'],
  slots = Infinity,
): OwnerLimits {
  return {entries, connections: 100, slots};
}

/** A scheduler over fake connections. */
export function schedulerOver(
  backend: FakeBackend,
  limits: OwnerLimits,
  timer: TimerService,
): {readonly pool: ConnectionPool; readonly scheduler: WorkScheduler} {
  const pool = ConnectionPool.create(backend.open, timer);
  return {pool, scheduler: WorkScheduler.create({pool, limits, timer})};
}

/** A wish of an entry's session, with others by default. */
export function wish(
  entry: string,
  session: string,
  more: Partial<WorkRequest> = {},
): WorkRequest {
  return {
    entry,
    session,
    purpose: 'write',
    waitMilliseconds: 1_000,
    abandoned: new Promise(() => undefined),
    ...more,
  };
}

/** Lets every task run that can without time passing. */
export async function settle(): Promise<void> {
  for (let round = 0; round < 20; round++) {
    await new Promise(resolve => setImmediate(resolve));
  }
}
