import {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {Observable} from '@apricotlock/flow';

/**
 * State of a member's network: `open` passes all bytes; `held` holds back all
 * bytes in both directions until the gate is open again and then delivers
 * them, as TCP retransmission would.
 */
export type GateMode = 'open' | 'held';

/** Simulates a network partition of a member on command. */
export class FaultGate {
  private readonly mode = Observable.of<GateMode>('open');
  private readonly sockets = new Set<GatedSocket>();

  private constructor() {}

  /** Creates an open gate. */
  static create(): FaultGate {
    return new FaultGate();
  }

  /** The current mode. */
  get current(): GateMode {
    return this.mode.current;
  }

  /** Changes the mode. */
  set(mode: GateMode): void {
    this.mode.set(mode);
  }

  /**
   * Silences all open connections permanently without closing them. New
   * connections work.
   */
  silenceConnections(): void {
    for (const socket of this.sockets) socket.silence();
  }

  /** Resolves once the gate is open. */
  async waitUntilOpen(): Promise<void> {
    await this.mode.waitUntil(mode => mode === 'open');
  }

  /** Returns a stream that carries the bytes of `socket` through the gate. */
  wrap(socket: Socket): Duplex {
    const gated = new GatedSocket(socket, this.mode);
    this.sockets.add(gated);
    gated.once('close', () => this.sockets.delete(gated));
    return gated;
  }
}

class GatedSocket extends Duplex {
  private queued: Array<() => void> = [];
  private silenced = false;
  private readonly unsubscribe: () => void;

  constructor(
    private readonly socket: Socket,
    private readonly mode: Observable<GateMode>,
  ) {
    super({allowHalfOpen: false});
    socket.on('data', (chunk: Buffer) =>
      this.passOrQueue(() => this.pushChunk(chunk)),
    );
    socket.on('end', () => this.passOrQueue(() => this.push(null)));
    socket.on('error', () => this.destroy());
    socket.on('close', () => this.passOrQueue(() => this.destroy()));
    this.unsubscribe = mode.subscribe(() => this.flushQueue());
  }

  silence(): void {
    this.silenced = true;
  }

  override _read(): void {
    this.socket.resume();
  }

  override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    done: (error?: Error | null) => void,
  ): void {
    this.passOrQueue(() => this.socket.write(chunk));
    done();
  }

  override _final(done: (error?: Error | null) => void): void {
    this.passOrQueue(() => this.socket.end());
    done();
  }

  override _destroy(
    error: Error | null,
    done: (error?: Error | null) => void,
  ): void {
    this.unsubscribe();
    // A partitioned process cannot notify its peer that it closes a connection.
    if (this.mode.current === 'open' && !this.silenced) this.socket.destroy();
    done(error);
  }

  private pushChunk(chunk: Buffer): void {
    if (!this.push(chunk)) this.socket.pause();
  }

  private passOrQueue(action: () => void): void {
    if (this.silenced) return;
    if (this.mode.current === 'open' && this.queued.length === 0) action();
    else this.queued.push(action);
  }

  private flushQueue(): void {
    if (this.mode.current !== 'open' || this.silenced) return;
    const actions = this.queued;
    this.queued = [];
    for (const action of actions) action();
  }
}
