import {Server, Socket} from 'node:net';
import {TimerService} from '@apricotlock/timer';

const MAXIMUM_STRANGERS = 256;
const PROOF_DEADLINE_MILLISECONDS = 3_000;

/**
 * Bounds what connections cost that have not proved themselves: each has a
 * deadline, and when there are too many the oldest goes first, so that a flood
 * of silent strangers keeps no peer out.
 */
export class StrangerGuard {
  private readonly strangers = new Map<string, Socket>();

  private constructor(
    private readonly timer: TimerService,
    private readonly maximumStrangers: number,
  ) {}

  /** Watches every connection that `server` takes from now on. */
  static watch(
    server: Server,
    timer: TimerService,
    maximumStrangers = MAXIMUM_STRANGERS,
  ): StrangerGuard {
    const guard = new StrangerGuard(timer, maximumStrangers);
    server.on('connection', (socket: Socket) => guard.admit(socket));
    return guard;
  }

  /** How many connections have not proved themselves. */
  get count(): number {
    return this.strangers.size;
  }

  /** The other side has proved itself on this connection, or over it by TLS. */
  recognise(socket: Socket): void {
    this.strangers.delete(keyOf(socket));
  }

  private admit(socket: Socket): void {
    const key = keyOf(socket);
    if (this.strangers.size >= this.maximumStrangers) this.dropOldest();
    this.strangers.set(key, socket);
    const stop = this.timer.once(PROOF_DEADLINE_MILLISECONDS, () => {
      if (this.strangers.get(key) === socket) socket.destroy();
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      stop();
      if (this.strangers.get(key) === socket) this.strangers.delete(key);
    });
  }

  private dropOldest(): void {
    const [oldest] = this.strangers;
    if (oldest === undefined) return;
    const [key, socket] = oldest;
    this.strangers.delete(key);
    socket.destroy();
  }
}

/** The same for a connection and for the TLS layer above it. */
function keyOf(socket: Socket): string {
  return `${socket.remoteAddress ?? ''}|${socket.remotePort ?? 0}`;
}
