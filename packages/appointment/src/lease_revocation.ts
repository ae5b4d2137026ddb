import {Observable, withTimeout} from '@apricotlock/flow';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {REVOKE_LEASE} from '@apricotlock/work';
import {LeaseGrantor} from './lease_grantor.js';

const ANSWER_TIMEOUT_MILLISECONDS = 400;
const RETRY_INTERVAL_MILLISECONDS = 60;
/** How long open transactions may continue before a planned change. */
export const PLANNED_GRACE_MILLISECONDS = 250;

/** The primary lease to revoke. */
export interface RevocationRequest {
  readonly database: string;
  /** Leases of all terms before this one are revoked. */
  readonly term: number;
  readonly holder: string;
  /** Whether open transactions get a grace period. */
  readonly planned: boolean;
}

/** Dependencies of a lease revocation. */
export interface LeaseRevocationOptions {
  readonly network: PeerNetwork;
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly grantor: LeaseGrantor;
  readonly timer: TimerService;
}

/**
 * Ensures that an entry VM no longer uses the primary of earlier terms: the VM
 * confirms it, or its primary lease runs out.
 */
export class LeaseRevocation {
  private constructor(
    private readonly request: RevocationRequest,
    private readonly options: LeaseRevocationOptions,
  ) {}

  /** Creates a revocation that is not yet requested. */
  static of(
    request: RevocationRequest,
    options: LeaseRevocationOptions,
  ): LeaseRevocation {
    return new LeaseRevocation(request, options);
  }

  /**
   * Repeats the request until it is confirmed or the lease has run out.
   * Resolves to the elapsed time in milliseconds.
   */
  async run(): Promise<number> {
    const {timer} = this.options;
    const startedAt = timer.now();
    for (;;) {
      const remaining = this.remainingLeaseMilliseconds;
      if (remaining <= 0) break;
      if ((await withTimeout(timer, remaining, this.revoke())) === true) break;
      await timer.sleep(Math.min(remaining, RETRY_INTERVAL_MILLISECONDS));
    }
    return Math.round(timer.now() - startedAt);
  }

  private async revoke(): Promise<boolean> {
    const {machines, network} = this.options;
    const {database, term, holder, planned} = this.request;
    const machine = machines.current.find(({name}) => name === holder);
    if (machine === undefined) return false;
    const graceMilliseconds = planned ? PLANNED_GRACE_MILLISECONDS : 0;
    const timeoutMilliseconds = ANSWER_TIMEOUT_MILLISECONDS + graceMilliseconds;
    const answer = await network.call(
      machine.peerAddress,
      REVOKE_LEASE,
      {database, term, graceMilliseconds},
      Math.max(
        1,
        Math.min(this.remainingLeaseMilliseconds, timeoutMilliseconds),
      ),
    );
    return answer.isRight();
  }

  private get remainingLeaseMilliseconds(): number {
    return this.options.grantor.remainingLeaseMilliseconds(
      this.request.database,
    );
  }
}
