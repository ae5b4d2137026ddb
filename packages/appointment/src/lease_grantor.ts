import {Either, Left, Right} from 'purify-ts';
import {ControlLog} from '@apricotlock/control';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {DatabaseGroup, findGroup} from '@apricotlock/topology';
import {GroupTerm, RENEW_LEASES} from '@apricotlock/work';

/** How long an entry VM may use a primary after it asked. */
export const LEASE_MILLISECONDS = 1_000;
/** Steady clocks of two VMs may differ in rate by this part at most. */
const CLOCK_RATE_ERROR = 0.02;

/** What granting leases needs. */
export interface LeaseGrantorOptions {
  readonly log: ControlLog;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
}

interface LeaseAnswer {
  readonly granted: GroupTerm[];
  readonly leaseMilliseconds: number;
}

/**
 * Grants the leases by which entry VMs use primaries, on the VM that leads
 * control. Each grant is confirmed by a quorum after it was asked for: a
 * leader that has been replaced grants nothing more, so that its successor
 * knows that a lease's length after its own start, all of them are over.
 */
export class LeaseGrantor {
  private readonly grantedAt = new Map<string, number>();
  /** When each term of each group was first seen to have a primary. */
  private readonly termSeenAt = new Map<string, number>();
  private leadingTerm: number | undefined;
  private leadingSince = 0;

  private constructor(private readonly options: LeaseGrantorOptions) {}

  /** Starts to answer entry VMs. */
  static start(options: LeaseGrantorOptions): LeaseGrantor {
    const grantor = new LeaseGrantor(options);
    const {network, log} = options;
    log.leading.subscribe(() => grantor.noteLeading());
    grantor.noteLeading();
    network.handle(RENEW_LEASES, async ({holder, groups}) =>
      grantor.renew(holder, groups),
    );
    return grantor;
  }

  /** How long a group's holder has asked for nothing, though it could. */
  silentMilliseconds({database, term}: GroupTerm): number {
    const key = `${database} ${term}`;
    const {timer} = this.options;
    // A term that is seen for the first time has only just begun.
    const since = this.termSeenAt.get(key) ?? timer.now();
    this.termSeenAt.set(key, since);
    return Math.min(timer.now() - since, this.ungrantedMilliseconds(database));
  }

  /** How long some VM may still hold a lease of a group's earlier terms. */
  leaseLeftMilliseconds(database: string): number {
    const longest = LEASE_MILLISECONDS * (1 + CLOCK_RATE_ERROR);
    return Math.max(0, longest - this.ungrantedMilliseconds(database));
  }

  private ungrantedMilliseconds(database: string): number {
    const granted = this.grantedAt.get(database) ?? -Infinity;
    return this.options.timer.now() - Math.max(granted, this.leadingSince);
  }

  private async renew(
    holder: string,
    groups: readonly GroupTerm[],
  ): Promise<Either<string, LeaseAnswer>> {
    const {log, timer} = this.options;
    if (!(await log.confirmLeading())) return Left('not leading');
    const {view} = log.state.current;
    const granted = groups.filter(({database, term}) =>
      mayHold(findGroup(view, database), holder, term),
    );
    for (const {database} of granted) {
      this.grantedAt.set(database, timer.now());
    }
    return Right({granted, leaseMilliseconds: LEASE_MILLISECONDS});
  }

  /** Each leadership counts anew: others may have granted before it. */
  private noteLeading(): void {
    const {log, timer} = this.options;
    const term = log.leadingTerm;
    if (term === this.leadingTerm) return;
    this.leadingTerm = term;
    this.leadingSince = timer.now();
    this.grantedAt.clear();
    this.termSeenAt.clear();
  }
}

function mayHold(
  group: DatabaseGroup | undefined,
  holder: string,
  term: number,
): boolean {
  if (group?.primary === undefined) return false;
  return group.holder === holder && group.term === term;
}
