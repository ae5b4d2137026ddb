import {connect, createServer, Server, Socket} from 'node:net';
import {TimerService} from '@apricotlock/timer';
import {Address} from '@apricotlock/topology';
import {FaultPlan, LaneFault, SOUND} from './fault_plan.js';
import {Lane} from './lane.js';

/** What a relay needs. */
export interface FaultRelayOptions {
  readonly listen: Address;
  readonly target: Address;
  /** The process behind `target`. */
  readonly targetName: string;
  /** The process that made a connection. */
  readonly sourceOf: (socket: Socket) => string;
  readonly plan: FaultPlan;
  readonly timer: TimerService;
}

interface Relayed {
  readonly sockets: readonly Socket[];
  readonly lanes: readonly Lane[];
}

/** Stands before one port of one process and injects a plan's faults. */
export class FaultRelay {
  private readonly relayed = new Set<Relayed>();

  private constructor(
    private readonly options: FaultRelayOptions,
    private readonly server: Server,
  ) {}

  /** Starts to listen. Rejects if the address can't be had. */
  static async start(options: FaultRelayOptions): Promise<FaultRelay> {
    const server = createServer({noDelay: true, allowHalfOpen: true});
    const relay = new FaultRelay(options, server);
    server.on('connection', socket => relay.accept(socket));
    options.plan.changes.subscribe(() => relay.release());
    const {host, port} = options.listen;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    return relay;
  }

  /** How many connections it carries. */
  get connections(): number {
    return this.relayed.size;
  }

  /** Makes open connections silent for good, both ways; new ones work. */
  silenceConnections(): void {
    for (const {lanes} of this.relayed) {
      for (const lane of lanes) lane.silence();
    }
  }

  /** Resets open connections, towards both ends. */
  resetConnections(): void {
    for (const {sockets} of this.relayed) {
      for (const socket of sockets) socket.resetAndDestroy();
    }
  }

  /** Ends all connections and stops listening. */
  async close(): Promise<void> {
    this.resetConnections();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private accept(inbound: Socket): void {
    const {target, targetName, plan, timer} = this.options;
    const source = this.sourceLater(inbound);
    const outbound = connect({...target, noDelay: true, allowHalfOpen: true});
    const faultOf = (find: () => LaneFault) => (plan.sound ? SOUND : find());
    const forth = () => faultOf(() => plan.faultOf(source(), targetName));
    const back = () => faultOf(() => plan.faultOf(targetName, source()));
    const relayed: Relayed = {
      sockets: [inbound, outbound],
      lanes: [
        Lane.start(inbound, outbound, forth, timer),
        Lane.start(outbound, inbound, back, timer),
      ],
    };
    this.relayed.add(relayed);
    // A target that is not there refuses; so must the relay.
    outbound.once('error', () => {
      if (!back().held) inbound.resetAndDestroy();
    });
    outbound.once('close', () => this.forget(relayed));
    inbound.once('close', () => this.forget(relayed));
  }

  /** Finding the process takes a while; without a fault it is not needed. */
  private sourceLater(socket: Socket): () => string {
    let name: string | undefined;
    return () => {
      name ??= this.options.sourceOf(socket);
      return name;
    };
  }

  private forget(relayed: Relayed): void {
    if (relayed.sockets.every(socket => socket.destroyed)) {
      this.relayed.delete(relayed);
    }
  }

  private release(): void {
    for (const {lanes} of this.relayed) {
      for (const lane of lanes) lane.release();
    }
  }
}
