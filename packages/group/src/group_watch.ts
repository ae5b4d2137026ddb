import {Observable} from '@apricotlock/flow';
import {MemberClient} from '@apricotlock/member';
import {Position} from '@apricotlock/session';
import {TimerService} from '@apricotlock/timer';
import {
  DatabaseGroup,
  formatAddress,
  majorityOf,
  Member,
  votingMembers,
} from '@apricotlock/topology';
import {PositionHistory} from './position_history.js';
import {PrimaryPositionReader} from './primary_position_reader.js';
import {MemberObservation, StatusWatch} from './status_watch.js';

/** Tracks the status of all members of a database group. */
export class GroupWatch {
  /** Incremented at each change of the group or of a member's observation. */
  readonly changes = Observable.of(0);
  private readonly positionReader: PrimaryPositionReader;
  private readonly history = PositionHistory.create();
  private watches = new Map<string, StatusWatch>();

  private constructor(
    private currentGroup: DatabaseGroup,
    private readonly client: MemberClient,
    private readonly timer: TimerService,
  ) {
    this.positionReader = PrimaryPositionReader.create(
      client,
      () => this.currentGroup,
    );
  }

  /** Starts tracking the members of `group`. */
  static start(
    group: DatabaseGroup,
    client: MemberClient,
    timer: TimerService,
  ): GroupWatch {
    const watch = new GroupWatch(group, client, timer);
    watch.update(group);
    return watch;
  }

  /** The group as of the newest cluster view. */
  get group(): DatabaseGroup {
    return this.currentGroup;
  }

  /** Replaces the group with that of a newer cluster view. */
  update(group: DatabaseGroup): void {
    if (group.term !== this.currentGroup.term) this.history.clear();
    this.currentGroup = group;
    const members = votingMembers(group);
    for (const [name, watch] of this.watches) {
      const member = members.find(other => other.name === name);
      if (member !== undefined && isSameAddress(member, watch.member)) continue;
      watch.stop();
      this.watches.delete(name);
    }
    for (const member of members) {
      const watch = this.watches.get(member.name) ?? this.watchMember(member);
      watch.setIsPrimary(member.name === group.primary);
    }
    this.notifyChange();
  }

  /** Returns what is known of a member, or `undefined` if it is not tracked. */
  observation(member: string): MemberObservation | undefined {
    return this.watches.get(member)?.observation.current;
  }

  /**
   * Returns whether a majority of the group durably holds `position` in the
   * history of `term`. A member of another term does not count, because its
   * log may differ at this position. A member fenced at a later term does not
   * count either, because it may have reported a shorter log to the failover of
   * that term.
   */
  isConfirmed(term: number, position: Position): boolean {
    let count = 0;
    for (const member of votingMembers(this.currentGroup)) {
      const status = this.observation(member.name)?.status;
      if (status === undefined) continue;
      const counts = status.term === term && status.fencedTerm === term;
      if (counts && status.received >= position) count += 1;
    }
    return count >= majorityOf(this.currentGroup);
  }

  /**
   * Waits until {@link GroupWatch.isConfirmed} holds. Resolves to `false` at
   * the timeout, or if a primary of a later term is assigned first.
   */
  async waitUntilConfirmed(
    term: number,
    position: Position,
    timeoutMilliseconds: number,
  ): Promise<boolean> {
    await this.waitFor(
      () => this.isConfirmed(term, position) || this.isReplaced(term),
      timeoutMilliseconds,
    );
    return this.isConfirmed(term, position);
  }

  /**
   * Returns an upper bound in milliseconds for the age of the data that a
   * member shows, or `undefined` if it is unknown. The position reported by the
   * primary is trusted only up to the last time at which a majority was not
   * fenced at a later term: until then there was no other primary, and so no
   * newer data elsewhere.
   */
  dataAgeMilliseconds(member: string): number | undefined {
    const status = this.observation(member)?.status;
    const {term} = this.currentGroup;
    if (status?.term !== term || status.fencedTerm !== term) return undefined;
    const shownAt = this.history.timeOf(status.applied);
    if (shownAt === undefined) return undefined;
    return this.timer.now() - Math.min(shownAt, this.lastUnfencedAt());
  }

  /** Returns whether a primary of a term later than `term` is assigned. */
  isReplaced(term: number): boolean {
    return (
      this.currentGroup.term > term && this.currentGroup.primary !== undefined
    );
  }

  /**
   * Waits until `test` holds, checking it at each change. Resolves to `false`
   * at the timeout.
   */
  async waitFor(
    test: () => boolean,
    timeoutMilliseconds: number,
  ): Promise<boolean> {
    if (test()) return true;
    const removeWaiters = [...this.watches.values()].map(watch =>
      watch.addWaiter(),
    );
    return new Promise(resolve => {
      const finish = (isFulfilled: boolean) => {
        for (const removeWaiter of removeWaiters) removeWaiter();
        unsubscribe();
        cancelTimeout();
        resolve(isFulfilled);
      };
      const unsubscribe = this.changes.subscribe(() => {
        if (test()) finish(true);
      });
      const cancelTimeout = this.timer.once(timeoutMilliseconds, () =>
        finish(false),
      );
    });
  }

  /**
   * Resolves with the current position of the primary of `term`, or
   * `undefined` if no majority confirms it.
   */
  primaryPosition(term: number): Promise<Position | undefined> {
    return this.positionReader.read(term);
  }

  /** Stops tracking all members. */
  stop(): void {
    for (const watch of this.watches.values()) watch.stop();
    this.watches.clear();
  }

  private watchMember(member: Member): StatusWatch {
    const watch = StatusWatch.start(member, this.client, this.timer);
    watch.observation.subscribe(observation => {
      this.recordPosition(observation);
      this.notifyChange();
    });
    this.watches.set(member.name, watch);
    return watch;
  }

  private recordPosition({status, requestedAt}: MemberObservation): void {
    const {primary, term} = this.currentGroup;
    const isPrimary = status?.role === 'primary' && status.name === primary;
    if (isPrimary && status.term === term) {
      this.history.record(status.received, requestedAt);
    }
  }

  /**
   * Returns the last time at which a majority is known not to have been fenced
   * at a later term.
   */
  private lastUnfencedAt(): number {
    const {term} = this.currentGroup;
    const times = votingMembers(this.currentGroup)
      .map(({name}) => this.observation(name))
      .filter(observation => observation?.status?.fencedTerm === term)
      .map(observation => observation?.requestedAt ?? -Infinity)
      .sort((left, right) => right - left);
    return times[majorityOf(this.currentGroup) - 1] ?? -Infinity;
  }

  private notifyChange(): void {
    this.changes.set(this.changes.current + 1);
  }
}

function isSameAddress(left: Member, right: Member): boolean {
  return formatAddress(left.apiAddress) === formatAddress(right.apiAddress);
}
