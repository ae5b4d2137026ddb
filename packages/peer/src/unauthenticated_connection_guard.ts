import {Server, Socket} from 'node:net';
import {TimerService} from '@apricotlock/timer';

const MAXIMUM_UNAUTHENTICATED_CONNECTIONS = 256;
const AUTHENTICATION_TIMEOUT_MILLISECONDS = 3_000;

/**
 * Limits the resources used by unauthenticated connections. Each one has to
 * authenticate before a timeout, and the oldest is closed when there are too
 * many, so that a flood of silent clients does not lock out peers.
 */
export class UnauthenticatedConnectionGuard {
  private readonly connections = new Map<string, Socket>();

  private constructor(
    private readonly timer: TimerService,
    private readonly maximumConnections: number,
  ) {}

  /** Starts guarding all connections that `server` accepts from now on. */
  static watch(
    server: Server,
    timer: TimerService,
    maximumConnections = MAXIMUM_UNAUTHENTICATED_CONNECTIONS,
  ): UnauthenticatedConnectionGuard {
    const guard = new UnauthenticatedConnectionGuard(timer, maximumConnections);
    server.on('connection', (socket: Socket) => guard.track(socket));
    return guard;
  }

  /** The number of connections that are not authenticated. */
  get count(): number {
    return this.connections.size;
  }

  /**
   * Marks a connection as authenticated. `socket` may be the connection or the
   * TLS socket on top of it.
   */
  markAuthenticated(socket: Socket): void {
    this.connections.delete(connectionKey(socket));
  }

  private track(socket: Socket): void {
    const key = connectionKey(socket);
    if (this.connections.size >= this.maximumConnections) this.closeOldest();
    this.connections.set(key, socket);
    const cancelTimeout = this.timer.once(
      AUTHENTICATION_TIMEOUT_MILLISECONDS,
      () => {
        if (this.connections.get(key) === socket) socket.destroy();
      },
    );
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      cancelTimeout();
      if (this.connections.get(key) === socket) this.connections.delete(key);
    });
  }

  private closeOldest(): void {
    const [oldest] = this.connections;
    if (oldest === undefined) return;
    const [key, socket] = oldest;
    this.connections.delete(key);
    socket.destroy();
  }
}

/** Returns a key that is the same for a connection and its TLS socket. */
function connectionKey(socket: Socket): string {
  return `${socket.remoteAddress ?? ''}|${socket.remotePort ?? 0}`;
}
