import {Observable, withTimeout} from '@apricotlock/flow';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {STOP_USING} from '@apricotlock/work';
import {LeaseGrantor} from './lease_grantor.js';

const ANSWER_MILLISECONDS = 400;
const RETRY_MILLISECONDS = 60;
/** How long open transactions may go on before a planned change. */
const PLANNED_GRACE_MILLISECONDS = 250;

/** Who is to stop using which primary. */
export interface StopOrder {
  readonly database: string;
  /** Every earlier term is over. */
  readonly term: number;
  readonly holder: string;
  /** Whether open transactions may go on for a while. */
  readonly planned: boolean;
}

/** What stopping a holder needs. */
export interface HolderStopOptions {
  readonly network: PeerNetwork;
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly grantor: LeaseGrantor;
  readonly timer: TimerService;
}

/**
 * Sees that an entry VM uses the primary of earlier terms no more: it says so
 * itself, or its lease is waited out.
 */
export class HolderStop {
  private constructor(
    private readonly order: StopOrder,
    private readonly options: HolderStopOptions,
  ) {}

  /** A stop that has not been asked for yet. */
  static of(order: StopOrder, options: HolderStopOptions): HolderStop {
    return new HolderStop(order, options);
  }

  /** Resolves once it is so, with the milliseconds that it took. */
  async run(): Promise<number> {
    const {timer} = this.options;
    const startedAt = timer.now();
    for (;;) {
      const left = this.leaseLeftMilliseconds;
      if (left <= 0) break;
      if ((await withTimeout(timer, left, this.ask())) === true) break;
      await timer.sleep(Math.min(left, RETRY_MILLISECONDS));
    }
    return Math.round(timer.now() - startedAt);
  }

  private async ask(): Promise<boolean> {
    const {machines, network} = this.options;
    const {database, term, holder, planned} = this.order;
    const machine = machines.current.find(({name}) => name === holder);
    if (machine === undefined) return false;
    const graceMilliseconds = planned ? PLANNED_GRACE_MILLISECONDS : 0;
    const patience = ANSWER_MILLISECONDS + graceMilliseconds;
    const answer = await network.call(
      machine.peerAddress,
      STOP_USING,
      {database, term, graceMilliseconds},
      Math.max(1, Math.min(this.leaseLeftMilliseconds, patience)),
    );
    return answer.isRight();
  }

  private get leaseLeftMilliseconds(): number {
    return this.options.grantor.leaseLeftMilliseconds(this.order.database);
  }
}
