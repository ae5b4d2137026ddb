import {GroupWatch} from '@apricotlock/group';
import {Observable} from '@apricotlock/flow';
import {MemberClient} from '@apricotlock/member';
import {TimerService} from '@apricotlock/timer';
import {findMember, Member, votingMembers} from '@apricotlock/topology';

const SWEEP_PERIOD_MILLISECONDS = 50;
const REPEAT_MILLISECONDS = 500;
const COMMAND_TIMEOUT_MILLISECONDS = 500;

/**
 * Makes every member of the watched groups follow the group's primary. Several
 * entry VMs may do so for one group: a member refuses the order of a term that
 * is older than the one it is fenced at, and repeating an order is harmless.
 */
export class ReplicaReconciler {
  private readonly orderedAt = new Map<string, number>();

  private constructor(
    private readonly client: MemberClient,
    private readonly timer: TimerService,
  ) {}

  /** Starts to put replicas right. */
  static start(
    groups: Observable<readonly GroupWatch[]>,
    client: MemberClient,
    timer: TimerService,
  ): ReplicaReconciler {
    const reconciler = new ReplicaReconciler(client, timer);
    timer.every(SWEEP_PERIOD_MILLISECONDS, () => {
      for (const watch of groups.current) reconciler.sweep(watch);
    });
    return reconciler;
  }

  private sweep(watch: GroupWatch): void {
    const {group} = watch;
    const primary = findMember(group, group.primary ?? '');
    if (primary === undefined) return;
    for (const member of votingMembers(group)) {
      if (member.name === primary.name) continue;
      if (this.mustBeTold(watch, member)) {
        this.order(member, primary, group.term);
      }
    }
  }

  private mustBeTold(watch: GroupWatch, member: Member): boolean {
    const status = watch.observation(member.name)?.status;
    if (status === undefined) return false;
    const {term} = watch.group;
    if (status.fencedTerm > term) return false;
    return status.term < term || status.role === 'primary' || !status.following;
  }

  private order(member: Member, primary: Member, term: number): void {
    const key = `${member.name} ${term} ${primary.name}`;
    const last = this.orderedAt.get(key) ?? -Infinity;
    if (this.timer.now() - last < REPEAT_MILLISECONDS) return;
    this.orderedAt.set(key, this.timer.now());
    const {name, apiAddress} = primary;
    void this.client.follow(
      member.apiAddress,
      term,
      {name, apiAddress},
      COMMAND_TIMEOUT_MILLISECONDS,
    );
  }
}
