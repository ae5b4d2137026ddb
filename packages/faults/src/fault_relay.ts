import {connect, createServer, Server, Socket} from 'node:net';
import {TimerService} from '@apricotlock/timer';
import {Address} from '@apricotlock/topology';
import {FaultPlan, LinkFault, NO_FAULT} from './fault_plan.js';
import {RelayPipe} from './relay_pipe.js';

/** Options of {@link FaultRelay}. */
export interface FaultRelayOptions {
  readonly listen: Address;
  readonly target: Address;
  /** Name of the process that listens on `target`. */
  readonly targetName: string;
  /** Returns the name of the process that opened a connection. */
  readonly sourceOf: (socket: Socket) => string;
  readonly plan: FaultPlan;
  readonly timer: TimerService;
}

interface RelayedConnection {
  readonly sockets: readonly Socket[];
  readonly pipes: readonly RelayPipe[];
}

/** Relays the connections to one port of a process and injects faults. */
export class FaultRelay {
  private readonly relayedConnections = new Set<RelayedConnection>();

  private constructor(
    private readonly options: FaultRelayOptions,
    private readonly server: Server,
  ) {}

  /** Starts listening. Rejects if the address is not available. */
  static async start(options: FaultRelayOptions): Promise<FaultRelay> {
    const server = createServer({noDelay: true, allowHalfOpen: true});
    const relay = new FaultRelay(options, server);
    server.on('connection', socket => relay.accept(socket));
    options.plan.changes.subscribe(() => relay.deliverDue());
    const {host, port} = options.listen;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    return relay;
  }

  /** Number of connections that are being relayed. */
  get connections(): number {
    return this.relayedConnections.size;
  }

  /**
   * Silences all open connections permanently, in both directions, without
   * closing them. New connections work.
   */
  silenceConnections(): void {
    for (const {pipes} of this.relayedConnections) {
      for (const pipe of pipes) pipe.silence();
    }
  }

  /** Resets all open connections at both ends. */
  resetConnections(): void {
    for (const {sockets} of this.relayedConnections) {
      for (const socket of sockets) socket.resetAndDestroy();
    }
  }

  /** Resets all open connections and stops listening. */
  async close(): Promise<void> {
    this.resetConnections();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private accept(inbound: Socket): void {
    const {target, targetName, plan, timer} = this.options;
    const source = this.lazySourceName(inbound);
    const outbound = connect({...target, noDelay: true, allowHalfOpen: true});
    const faultOf = (lookUp: () => LinkFault) =>
      plan.isEmpty ? NO_FAULT : lookUp();
    const forwardFault = () =>
      faultOf(() => plan.faultOf(source(), targetName));
    const backwardFault = () =>
      faultOf(() => plan.faultOf(targetName, source()));
    const connection: RelayedConnection = {
      sockets: [inbound, outbound],
      pipes: [
        RelayPipe.start(inbound, outbound, forwardFault, timer),
        RelayPipe.start(outbound, inbound, backwardFault, timer),
      ],
    };
    this.relayedConnections.add(connection);
    // A target that is down refuses connections; the relay must do the same.
    outbound.once('error', () => {
      if (!backwardFault().held) inbound.resetAndDestroy();
    });
    outbound.once('close', () => this.removeIfClosed(connection));
    inbound.once('close', () => this.removeIfClosed(connection));
  }

  /**
   * Returns a function that finds the source process on its first call: the
   * search is slow, and it is not needed without a fault.
   */
  private lazySourceName(socket: Socket): () => string {
    let name: string | undefined;
    return () => {
      name ??= this.options.sourceOf(socket);
      return name;
    };
  }

  private removeIfClosed(connection: RelayedConnection): void {
    if (connection.sockets.every(socket => socket.destroyed)) {
      this.relayedConnections.delete(connection);
    }
  }

  private deliverDue(): void {
    for (const {pipes} of this.relayedConnections) {
      for (const pipe of pipes) pipe.deliverDue();
    }
  }
}
