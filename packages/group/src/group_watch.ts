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
import {CurrentPosition} from './current_position.js';
import {PositionHistory} from './position_history.js';
import {MemberObservation, StatusWatch} from './status_watch.js';

/** Follows all members of a database group. */
export class GroupWatch {
  /** Counts changes of what is known; its value has no other meaning. */
  readonly changes = Observable.of(0);
  private readonly currentPosition: CurrentPosition;
  private readonly history = PositionHistory.create();
  private watches = new Map<string, StatusWatch>();

  private constructor(
    private current: DatabaseGroup,
    private readonly client: MemberClient,
    private readonly timer: TimerService,
  ) {
    this.currentPosition = CurrentPosition.of(client, () => this.current);
  }

  /** Starts to follow the members of `group`. */
  static start(
    group: DatabaseGroup,
    client: MemberClient,
    timer: TimerService,
  ): GroupWatch {
    const watch = new GroupWatch(group, client, timer);
    watch.update(group);
    return watch;
  }

  /** The group as the newest view has it. */
  get group(): DatabaseGroup {
    return this.current;
  }

  /** Takes over the group of a newer view. */
  update(group: DatabaseGroup): void {
    if (group.term !== this.current.term) this.history.clear();
    this.current = group;
    const members = votingMembers(group);
    for (const [name, watch] of this.watches) {
      const member = members.find(other => other.name === name);
      if (member !== undefined && isSamePlace(member, watch.member)) continue;
      watch.stop();
      this.watches.delete(name);
    }
    for (const member of members) {
      const watch = this.watches.get(member.name) ?? this.follow(member);
      watch.regardAsPrimary(member.name === group.primary);
    }
    this.changed();
  }

  /** What is known of one member. */
  observation(member: string): MemberObservation | undefined {
    return this.watches.get(member)?.observation.current;
  }

  /**
   * Whether a majority of the group holds `position` in the history of
   * `term`. A member of another term counts for nothing: what it holds at
   * this position may be something else. Nor does one that is fenced at a
   * later term: the round of that term may have been told of a shorter log.
   */
  isConfirmed(term: number, position: Position): boolean {
    let count = 0;
    for (const member of votingMembers(this.current)) {
      const status = this.observation(member.name)?.status;
      if (status === undefined) continue;
      const counts = status.term === term && status.fencedTerm === term;
      if (counts && status.received >= position) count += 1;
    }
    return count >= majorityOf(this.current);
  }

  /**
   * Waits for {@link GroupWatch.isConfirmed}; `false` when time is up, or
   * once another primary has been appointed.
   */
  async confirmed(
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
   * How old, in milliseconds, what a member shows is at most; `undefined` if
   * that cannot be told. The primary's word for its position counts only up to
   * the time at which a majority was not fenced at a later term: until then
   * there was no other primary, and so nothing newer elsewhere.
   */
  ageOf(member: string): number | undefined {
    const status = this.observation(member)?.status;
    const {term} = this.current;
    if (status?.term !== term || status.fencedTerm !== term) return undefined;
    const shownAt = this.history.timeOf(status.applied);
    if (shownAt === undefined) return undefined;
    return this.timer.now() - Math.min(shownAt, this.unfencedAt());
  }

  /** Whether a primary of a term after `term` has been appointed. */
  isReplaced(term: number): boolean {
    return this.current.term > term && this.current.primary !== undefined;
  }

  /** Waits until `test` holds; `false` when time is up. */
  async waitFor(
    test: () => boolean,
    timeoutMilliseconds: number,
  ): Promise<boolean> {
    if (test()) return true;
    const waits = [...this.watches.values()].map(watch => watch.await());
    return new Promise(resolve => {
      const finish = (held: boolean) => {
        for (const endWait of waits) endWait();
        stopListening();
        stopAlarm();
        resolve(held);
      };
      const stopListening = this.changes.subscribe(() => {
        if (test()) finish(true);
      });
      const stopAlarm = this.timer.once(timeoutMilliseconds, () =>
        finish(false),
      );
    });
  }

  /** Where the primary of `term` stands now, borne out by a majority. */
  primaryPosition(term: number): Promise<Position | undefined> {
    return this.currentPosition.read(term);
  }

  /** Ends all tasks. */
  stop(): void {
    for (const watch of this.watches.values()) watch.stop();
    this.watches.clear();
  }

  private follow(member: Member): StatusWatch {
    const watch = StatusWatch.start(member, this.client, this.timer);
    watch.observation.subscribe(observation => {
      this.notePosition(observation);
      this.changed();
    });
    this.watches.set(member.name, watch);
    return watch;
  }

  private notePosition({status, askedAt}: MemberObservation): void {
    const {primary, term} = this.current;
    const leads = status?.role === 'primary' && status.name === primary;
    if (leads && status.term === term) {
      this.history.note(status.received, askedAt);
    }
  }

  /** The latest time at which a majority was not fenced at a later term. */
  private unfencedAt(): number {
    const {term} = this.current;
    const times = votingMembers(this.current)
      .map(({name}) => this.observation(name))
      .filter(observation => observation?.status?.fencedTerm === term)
      .map(observation => observation?.askedAt ?? -Infinity)
      .sort((left, right) => right - left);
    return times[majorityOf(this.current) - 1] ?? -Infinity;
  }

  private changed(): void {
    this.changes.set(this.changes.current + 1);
  }
}

function isSamePlace(left: Member, right: Member): boolean {
  return formatAddress(left.apiAddress) === formatAddress(right.apiAddress);
}
