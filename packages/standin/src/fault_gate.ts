import {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {Observable} from '@apricotlock/flow';

/**
 * What the network does to a member: `open` passes all, `held` keeps every
 * byte back both ways until it is open again, as retransmission would.
 */
export type GateMode = 'open' | 'held';

/** Stands between a member and the network, and cuts it off on command. */
export class FaultGate {
  private readonly mode = Observable.of<GateMode>('open');
  private readonly sockets = new Set<GatedSocket>();

  private constructor() {}

  /** An open gate. */
  static create(): FaultGate {
    return new FaultGate();
  }

  /** Whether bytes pass. */
  get current(): GateMode {
    return this.mode.current;
  }

  /** Changes what passes from now on. */
  set(mode: GateMode): void {
    this.mode.set(mode);
  }

  /** Makes every open connection silent for good; new ones work. */
  forgetConnections(): void {
    for (const socket of this.sockets) socket.forget();
  }

  /** Resolves once the gate is open. */
  async opened(): Promise<void> {
    await this.mode.waitUntil(mode => mode === 'open');
  }

  /** A stream that carries `socket`'s bytes as far as the gate lets them. */
  wrap(socket: Socket): Duplex {
    const gated = new GatedSocket(socket, this.mode);
    this.sockets.add(gated);
    gated.once('close', () => this.sockets.delete(gated));
    return gated;
  }
}

class GatedSocket extends Duplex {
  private held: Array<() => void> = [];
  private forgotten = false;
  private readonly unsubscribe: () => void;

  constructor(
    private readonly socket: Socket,
    private readonly mode: Observable<GateMode>,
  ) {
    super({allowHalfOpen: false});
    socket.on('data', (chunk: Buffer) => this.pass(() => this.offer(chunk)));
    socket.on('end', () => this.pass(() => this.push(null)));
    socket.on('error', () => this.destroy());
    socket.on('close', () => this.pass(() => this.destroy()));
    this.unsubscribe = mode.subscribe(() => this.release());
  }

  forget(): void {
    this.forgotten = true;
  }

  override _read(): void {
    this.socket.resume();
  }

  override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    done: (error?: Error | null) => void,
  ): void {
    this.pass(() => this.socket.write(chunk));
    done();
  }

  override _final(done: (error?: Error | null) => void): void {
    this.pass(() => this.socket.end());
    done();
  }

  override _destroy(
    error: Error | null,
    done: (error?: Error | null) => void,
  ): void {
    this.unsubscribe();
    // A process that is cut off cannot tell the other side that it closes.
    if (this.mode.current === 'open' && !this.forgotten) this.socket.destroy();
    done(error);
  }

  private offer(chunk: Buffer): void {
    if (!this.push(chunk)) this.socket.pause();
  }

  private pass(action: () => void): void {
    if (this.forgotten) return;
    if (this.mode.current === 'open' && this.held.length === 0) action();
    else this.held.push(action);
  }

  private release(): void {
    if (this.mode.current !== 'open' || this.forgotten) return;
    const actions = this.held;
    this.held = [];
    for (const action of actions) action();
  }
}
