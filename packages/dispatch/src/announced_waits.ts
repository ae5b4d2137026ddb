import {TimerService} from '@apricotlock/timer';

/**
 * Once an announced wait fits, one statement is sent in each period of this
 * length until the member has answered. Otherwise all that were held would be
 * sent, and refused, at the same moment.
 */
const TRIAL_INTERVAL_MILLISECONDS = 30;

/** How urgent a statement is to a member's queue, when it is attempted. */
export interface Urgency {
  /** 0 is the highest priority; larger numbers are lower priorities. */
  readonly priority: number;
  /** Whether its latency objective has passed; then other work goes first. */
  readonly late: boolean;
}

interface Refusal {
  readonly urgency: Urgency;
  readonly waitMilliseconds: number;
  readonly at: number;
  /** When a statement was last sent although the refusal was recorded. */
  trialAt: number;
}

/**
 * The waits that members announced when they refused statements.
 *
 * Without them, an overload can outlast its cause: each refused statement asks
 * all members repeatedly, and members that refuse ten times as often as they
 * serve have no processor time left to serve. So a statement is not sent to a
 * member that has just announced a longer wait to one that is as urgent.
 * Members share their slots fairly among organisations, so a wait concerns only
 * the organisation whose statement was refused.
 */
export class AnnouncedWaits {
  /** By member, and by the organisation of the refused statement. */
  private readonly refusals = new Map<
    string,
    Map<string | undefined, Refusal>
  >();

  private constructor(private readonly timer: TimerService) {}

  /** Creates an instance that knows of no refusal. */
  static create(timer: TimerService): AnnouncedWaits {
    return new AnnouncedWaits(timer);
  }

  /** Records that a member refused a statement because it would wait. */
  recordRefusal(
    member: string,
    urgency: Urgency,
    waitMilliseconds: number,
    organisation?: string,
  ): void {
    const at = this.timer.now();
    const trialAt = -Infinity;
    const refusals =
      this.refusals.get(member) ?? new Map<string | undefined, Refusal>();
    refusals.set(organisation, {urgency, waitMilliseconds, at, trialAt});
    this.refusals.set(member, refusals);
  }

  /** Records that a member has answered, with the wait of new work there. */
  recordAnswer(
    member: string,
    waitMilliseconds: number,
    organisation?: string,
  ): void {
    const known = this.refusalOf(member, organisation);
    if (known === undefined) return;
    if (waitMilliseconds < this.remainingMilliseconds(known)) {
      this.refusals.get(member)?.delete(organisation);
    }
  }

  /**
   * Returns the wait that a member announced, if a statement is not to be sent
   * there: it would still wait for longer than its limit, or another one has
   * just been sent to find out. Otherwise returns `undefined`.
   */
  knownRefusal(
    member: string,
    urgency: Urgency,
    limitMilliseconds: number,
    organisation?: string,
  ): number | undefined {
    const refusal = this.refusalOf(member, organisation);
    if (refusal === undefined) return undefined;
    if (isMoreUrgent(urgency, refusal.urgency)) return undefined;
    const remainingMilliseconds = this.remainingMilliseconds(refusal);
    if (remainingMilliseconds > limitMilliseconds) {
      return refusal.waitMilliseconds;
    }
    if (remainingMilliseconds === 0) {
      this.refusals.get(member)?.delete(organisation);
      return undefined;
    }
    const now = this.timer.now();
    if (now - refusal.trialAt < TRIAL_INTERVAL_MILLISECONDS) {
      return refusal.waitMilliseconds;
    }
    refusal.trialAt = now;
    return undefined;
  }

  /** Returns how much is left of the wait that a member announced. */
  remainingWaitMilliseconds(member: string, organisation?: string): number {
    const refusal = this.refusalOf(member, organisation);
    return refusal === undefined ? 0 : this.remainingMilliseconds(refusal);
  }

  /** Forgets all members but the given ones. */
  retain(members: ReadonlySet<string>): void {
    for (const member of this.refusals.keys()) {
      if (!members.has(member)) this.refusals.delete(member);
    }
  }

  private refusalOf(
    member: string,
    organisation: string | undefined,
  ): Refusal | undefined {
    return this.refusals.get(member)?.get(organisation);
  }

  private remainingMilliseconds({waitMilliseconds, at}: Refusal): number {
    return Math.max(0, waitMilliseconds - (this.timer.now() - at));
  }
}

function isMoreUrgent(left: Urgency, right: Urgency): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority;
  return !left.late && right.late;
}
