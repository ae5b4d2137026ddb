import {Deferred, TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {Address} from '@apricotlock/topology';
import {DatagramBody} from './datagram_codec.js';

const DIRECT_TIMEOUT_MILLISECONDS = 150;
const INDIRECT_TIMEOUT_MILLISECONDS = 200;

/** Sends one body to one process, with whatever records ride along. */
export type SendBody = (to: Address, body: DatagramBody) => void;

/** Finds out whether a process answers, by itself and through others. */
export class Prober {
  private nextProbe = 1;
  private readonly open = new Map<number, Deferred<true>>();

  private constructor(
    private readonly timer: TimerService,
    private readonly send: SendBody,
  ) {}

  /** A prober that sends with `send`. */
  static create(timer: TimerService, send: SendBody): Prober {
    return new Prober(timer, send);
  }

  /** Whether `target` answers, to this process or through a helper. */
  async reaches(
    target: Address,
    helpers: () => readonly Address[],
  ): Promise<boolean> {
    if (await this.ping(target)) return true;
    const {host, port} = target;
    return this.ask(INDIRECT_TIMEOUT_MILLISECONDS, probe => {
      for (const helper of helpers()) {
        this.send(helper, {kind: 'pingThrough', probe, target: [host, port]});
      }
      // The first ping may have been lost rather than refused.
      this.send(target, {kind: 'ping', probe});
    });
  }

  /** Whether `target` answers this process. */
  ping(target: Address): Promise<boolean> {
    return this.ask(DIRECT_TIMEOUT_MILLISECONDS, probe =>
      this.send(target, {kind: 'ping', probe}),
    );
  }

  /** Pings for another process and passes the answer on. */
  async pingFor(asker: Address, probe: number, target: Address): Promise<void> {
    if (await this.ping(target)) this.send(asker, {kind: 'ack', probe});
  }

  /** An answer has come; one to a probe that is over does nothing. */
  acknowledged(probe: number): void {
    this.open.get(probe)?.resolve(true);
  }

  private async ask(
    timeoutMilliseconds: number,
    send: (probe: number) => void,
  ): Promise<boolean> {
    const probe = this.nextProbe++;
    const answer = Deferred.create<true>();
    this.open.set(probe, answer);
    send(probe);
    const outcome = await withTimeout(
      this.timer,
      timeoutMilliseconds,
      answer.promise,
    );
    this.open.delete(probe);
    return outcome !== TIMED_OUT;
  }
}
