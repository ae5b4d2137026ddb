import {TimerService} from '@apricotlock/timer';

/** How long a read may wait for a replica to reach what it has to show. */
const FLOOR_WAIT_MILLISECONDS = 1_200;
/** How long a replica that was waited for in vain is not waited for again. */
const DISTRUST_MILLISECONDS = 1_000;

/** What this entry VM has seen of replicas: which are worth waiting for. */
export class ReplicaMemory {
  private readonly distrustedUntil = new Map<string, number>();

  private constructor(private readonly timer: TimerService) {}

  /** A memory that trusts every replica. */
  static create(timer: TimerService): ReplicaMemory {
    return new ReplicaMemory(timer);
  }

  /** How long a read may wait for a replica now, in milliseconds. */
  waitFor(member: string): number {
    const until = this.distrustedUntil.get(member);
    if (until === undefined) return FLOOR_WAIT_MILLISECONDS;
    if (this.timer.now() < until) return 0;
    // One read tries it again; the others go on without it until that shows.
    this.waitedInVain(member);
    return FLOOR_WAIT_MILLISECONDS;
  }

  /** A read has waited for a replica, and it has not caught up. */
  waitedInVain(member: string): void {
    const until = this.timer.now() + DISTRUST_MILLISECONDS;
    this.distrustedUntil.set(member, until);
  }

  /** A replica has caught up while a read waited for it. */
  caughtUp(member: string): void {
    this.distrustedUntil.delete(member);
  }
}
