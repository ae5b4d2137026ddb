import {GroupWatch} from '@apricotlock/group';
import {Observable} from '@apricotlock/flow';
import {MemberClient} from '@apricotlock/member';
import {TimerService} from '@apricotlock/timer';
import {findMember, Member, votingMembers} from '@apricotlock/topology';

const SWEEP_PERIOD_MILLISECONDS = 500;
const REPEAT_MILLISECONDS = 500;
const COMMAND_TIMEOUT_MILLISECONDS = 400;

interface Order {
  readonly term: number;
  readonly primary: string;
  readonly at: number;
}

/**
 * Makes every member of the watched groups follow the group's primary, as soon
 * as something is heard of a member or of the group. Several entry VMs may do
 * so for one group: a member refuses the order of a term that is older than
 * the one it is fenced at, and repeating an order is harmless.
 */
export class ReplicaReconciler {
  /** The last order of each member. */
  private readonly orders = new Map<string, Order>();
  private readonly subscriptions = new Map<GroupWatch, () => void>();

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
    groups.subscribe(watches => reconciler.listenTo(watches));
    reconciler.listenTo(groups.current);
    // An order may be lost without anything being heard afterwards.
    timer.every(SWEEP_PERIOD_MILLISECONDS, () => {
      for (const watch of groups.current) reconciler.putRight(watch);
    });
    return reconciler;
  }

  private listenTo(watches: readonly GroupWatch[]): void {
    for (const [watch, stop] of this.subscriptions) {
      if (watches.includes(watch)) continue;
      stop();
      this.subscriptions.delete(watch);
    }
    for (const watch of watches) {
      if (this.subscriptions.has(watch)) continue;
      const stop = watch.changes.subscribe(() => this.putRight(watch));
      this.subscriptions.set(watch, stop);
      this.putRight(watch);
    }
  }

  private putRight(watch: GroupWatch): void {
    const {group} = watch;
    const primary = findMember(group, group.primary ?? '');
    if (primary === undefined) return;
    for (const member of votingMembers(group)) {
      if (member.name === primary.name) continue;
      if (mustBeTold(watch, member)) this.order(member, primary, group.term);
    }
  }

  private order(member: Member, primary: Member, term: number): void {
    const {name, apiAddress} = primary;
    const at = this.timer.now();
    const last = this.orders.get(member.name);
    const repeated = last?.term === term && last.primary === name;
    if (repeated && at - last.at < REPEAT_MILLISECONDS) return;
    this.orders.set(member.name, {term, primary: name, at});
    void this.client.follow(
      member.apiAddress,
      term,
      {name, apiAddress},
      COMMAND_TIMEOUT_MILLISECONDS,
    );
  }
}

function mustBeTold(watch: GroupWatch, member: Member): boolean {
  const status = watch.observation(member.name)?.status;
  if (status === undefined) return false;
  const {term} = watch.group;
  if (status.fencedTerm > term) return false;
  return (
    status.fencedTerm < term || status.role === 'primary' || !status.following
  );
}
