import {GroupWatch} from '@apricotlock/group';
import {Observable} from '@apricotlock/flow';
import {MemberClient} from '@apricotlock/member';
import {TimerService} from '@apricotlock/timer';
import {findMember, Member, votingMembers} from '@apricotlock/topology';

/** All members of the watched groups are checked at this interval. */
const SWEEP_INTERVAL_MILLISECONDS = 500;
/** Minimum time between two identical commands to a member. */
const REPEAT_MILLISECONDS = 500;
const COMMAND_TIMEOUT_MILLISECONDS = 400;

interface FollowCommand {
  readonly term: number;
  readonly primary: string;
  readonly sentAt: number;
}

/**
 * Ensures that every member of the watched groups follows the primary of its
 * group, by checking at each change of the group or of a member's status.
 * Several entry VMs may do this for the same group: a member refuses a command
 * of a term older than the one at which it is fenced, and repeating a command
 * is harmless.
 */
export class ReplicaReconciler {
  /** The last command that was sent to each member. */
  private readonly lastCommands = new Map<string, FollowCommand>();
  private readonly subscriptions = new Map<GroupWatch, () => void>();

  private constructor(
    private readonly client: MemberClient,
    private readonly timer: TimerService,
  ) {}

  /** Starts checking the replicas of the watched groups. */
  static start(
    groups: Observable<readonly GroupWatch[]>,
    client: MemberClient,
    timer: TimerService,
  ): ReplicaReconciler {
    const reconciler = new ReplicaReconciler(client, timer);
    groups.subscribe(watches => reconciler.subscribeTo(watches));
    reconciler.subscribeTo(groups.current);
    // A command may be lost without a later change that triggers a check.
    timer.every(SWEEP_INTERVAL_MILLISECONDS, () => {
      for (const watch of groups.current) reconciler.reconcile(watch);
    });
    return reconciler;
  }

  private subscribeTo(watches: readonly GroupWatch[]): void {
    for (const [watch, unsubscribe] of this.subscriptions) {
      if (watches.includes(watch)) continue;
      unsubscribe();
      this.subscriptions.delete(watch);
    }
    for (const watch of watches) {
      if (this.subscriptions.has(watch)) continue;
      const unsubscribe = watch.changes.subscribe(() => this.reconcile(watch));
      this.subscriptions.set(watch, unsubscribe);
      this.reconcile(watch);
    }
  }

  private reconcile(watch: GroupWatch): void {
    const {group} = watch;
    const primary = findMember(group, group.primary ?? '');
    if (primary === undefined) return;
    for (const member of votingMembers(group)) {
      if (member.name === primary.name) continue;
      if (mustFollow(watch, member)) this.redirect(member, primary, group.term);
    }
  }

  /** Commands a member to follow the primary, unless this was just sent. */
  private redirect(member: Member, primary: Member, term: number): void {
    const {name, apiAddress} = primary;
    const sentAt = this.timer.now();
    const last = this.lastCommands.get(member.name);
    const isRepeated = last?.term === term && last.primary === name;
    if (isRepeated && sentAt - last.sentAt < REPEAT_MILLISECONDS) return;
    this.lastCommands.set(member.name, {term, primary: name, sentAt});
    void this.client.follow(
      member.apiAddress,
      term,
      {name, apiAddress},
      COMMAND_TIMEOUT_MILLISECONDS,
    );
  }
}

/**
 * Returns whether the member must be commanded to follow the primary. A member
 * of unknown status, or fenced at a later term, is left alone.
 */
function mustFollow(watch: GroupWatch, member: Member): boolean {
  const status = watch.observation(member.name)?.status;
  if (status === undefined) return false;
  const {term} = watch.group;
  if (status.fencedTerm > term) return false;
  return (
    status.fencedTerm < term || status.role === 'primary' || !status.following
  );
}
