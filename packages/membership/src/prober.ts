import {Deferred, TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {Address} from '@apricotlock/topology';
import {DatagramBody} from './datagram_codec.js';

const DIRECT_TIMEOUT_MILLISECONDS = 150;
const INDIRECT_TIMEOUT_MILLISECONDS = 200;

/** Sends a body to a process; records may be piggybacked on it. */
export type SendBody = (to: Address, body: DatagramBody) => void;

/** Probes processes directly and indirectly, through helper processes. */
export class Prober {
  private nextProbeNumber = 1;
  private readonly pendingProbes = new Map<number, Deferred<true>>();

  private constructor(
    private readonly timer: TimerService,
    private readonly send: SendBody,
  ) {}

  /** Creates a prober that sends its probes with `send`. */
  static create(timer: TimerService, send: SendBody): Prober {
    return new Prober(timer, send);
  }

  /** Resolves to whether `target` answers a direct or an indirect probe. */
  async canReach(
    target: Address,
    helpers: () => readonly Address[],
  ): Promise<boolean> {
    if (await this.ping(target)) return true;
    const {host, port} = target;
    return this.sendProbe(INDIRECT_TIMEOUT_MILLISECONDS, probe => {
      for (const helper of helpers()) {
        this.send(helper, {kind: 'pingThrough', probe, target: [host, port]});
      }
      // The first ping may have been lost, so the target is pinged again.
      this.send(target, {kind: 'ping', probe});
    });
  }

  /** Resolves to whether `target` answers a direct probe before the timeout. */
  ping(target: Address): Promise<boolean> {
    return this.sendProbe(DIRECT_TIMEOUT_MILLISECONDS, probe =>
      this.send(target, {kind: 'ping', probe}),
    );
  }

  /**
   * Pings `target` for another process, and acknowledges the probe of that
   * process if the target answers.
   */
  async pingOnBehalf(
    requester: Address,
    probe: number,
    target: Address,
  ): Promise<void> {
    if (await this.ping(target)) this.send(requester, {kind: 'ack', probe});
  }

  /** Records an acknowledgement. Those of finished probes are ignored. */
  recordAcknowledgement(probe: number): void {
    this.pendingProbes.get(probe)?.resolve(true);
  }

  private async sendProbe(
    timeoutMilliseconds: number,
    send: (probe: number) => void,
  ): Promise<boolean> {
    const probe = this.nextProbeNumber++;
    const answer = Deferred.create<true>();
    this.pendingProbes.set(probe, answer);
    send(probe);
    const outcome = await withTimeout(
      this.timer,
      timeoutMilliseconds,
      answer.promise,
    );
    this.pendingProbes.delete(probe);
    return outcome !== TIMED_OUT;
  }
}
