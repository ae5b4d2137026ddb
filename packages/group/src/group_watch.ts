import {Observable, TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {MemberClient} from '@apricotlock/member';
import {Position} from '@apricotlock/session';
import {TimerService} from '@apricotlock/timer';
import {DatabaseGroup, majorityOf, votingMembers} from '@apricotlock/topology';
import {CurrentPosition} from './current_position.js';
import {MemberObservation, StatusWatch} from './status_watch.js';

/** Follows all members of a database group. */
export class GroupWatch {
  /** Counts changes of what is known; its value has no other meaning. */
  readonly changes = Observable.of(0);
  private readonly currentPosition: CurrentPosition;
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
    this.current = group;
    const members = votingMembers(group);
    for (const [name, watch] of this.watches) {
      const member = members.find(other => other.name === name);
      const moved = member?.apiAddress.port !== watch.member.apiAddress.port;
      if (member !== undefined && !moved) continue;
      watch.stop();
      this.watches.delete(name);
    }
    for (const member of members) {
      if (this.watches.has(member.name)) continue;
      const watch = StatusWatch.start(member, this.client, this.timer);
      watch.observation.subscribe(() => this.changed());
      this.watches.set(member.name, watch);
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
   * this position may be something else.
   */
  isConfirmed(term: number, position: Position): boolean {
    let count = 0;
    for (const member of votingMembers(this.current)) {
      const status = this.observation(member.name)?.status;
      if (status?.term === term && status.received >= position) count += 1;
    }
    return count >= majorityOf(this.current);
  }

  /** Waits for {@link GroupWatch.isConfirmed}; `false` when time is up. */
  async confirmed(
    term: number,
    position: Position,
    timeoutMilliseconds: number,
  ): Promise<boolean> {
    if (this.isConfirmed(term, position)) return true;
    const outcome = await withTimeout(
      this.timer,
      timeoutMilliseconds,
      this.changes.until(() => this.isConfirmed(term, position)),
    );
    return outcome !== TIMED_OUT;
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

  private changed(): void {
    this.changes.set(this.changes.current + 1);
  }
}
