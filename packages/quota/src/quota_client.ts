import {Observable} from '@apricotlock/flow';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {Organisation, Quota, VirtualMachine} from '@apricotlock/topology';
import {GrantRequester} from './grant_requester.js';
import {OperationQuota, QuotaDecision} from './operation_quota.js';
import {OrganisationDemand} from './organisation_demand.js';
import {QuotaCoordinator} from './quota_coordinator.js';
import {MutableQuotaCounts, QuotaCounts, zeroCounts} from './quota_counts.js';
import {bucketCapacity} from './quota_limits.js';
import {GrantAnswer} from './quota_messages.js';
import {shardOf} from './quota_shards.js';
import {SuspensionDetector} from './suspension_detector.js';

/** The longest time that an operation waits for an answer. */
const WAIT_MILLISECONDS = 150;
/** Membership names another coordinator after 1.3 s to 2.8 s. */
const NO_COORDINATOR_RETRY_MILLISECONDS = 1_000;
/** For this long after an operation, unanswered requests are repeated. */
const REPEAT_PERIOD_MILLISECONDS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
/** With more organisations than this, idle ones are dropped. */
const MAXIMUM_IDLE_ORGANISATIONS = 2_000;
const IDLE_MILLISECONDS = 60_000;
const PRUNE_INTERVAL_MILLISECONDS = 10_000;

const GRANTED: QuotaDecision = {kind: 'granted'};
/** Shared, because most operations are granted without waiting. */
const GRANTED_AT_ONCE = Promise.resolve(GRANTED);

/** Dependencies of {@link QuotaClient}. */
export interface QuotaClientOptions {
  readonly self: string;
  /** The entry VMs, as seen by this VM. */
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  /** The coordinator on this VM, which is asked without a message. */
  readonly coordinator: QuotaCoordinator;
}

/**
 * Grants operations of this VM's callers from small allowances, which it
 * requests from the coordinators of their organisations.
 */
export class QuotaClient extends OperationQuota {
  private readonly organisations = new Map<string, OrganisationDemand>();
  private readonly requester: GrantRequester;
  private readonly suspensions: SuspensionDetector;
  private suspensionCount: number;
  private prunedAt = -Infinity;
  private readonly currentCounts: MutableQuotaCounts = zeroCounts();

  private constructor(private readonly options: QuotaClientOptions) {
    super();
    this.suspensions = SuspensionDetector.create(options.timer);
    this.suspensionCount = this.suspensions.count();
    this.requester = GrantRequester.create({
      ...options,
      counts: this.currentCounts,
      epoch: () => this.checkSuspension(),
      onAnswer: (organisation, answer, sentAt) =>
        this.applyAnswer(organisation, answer, sentAt),
      onUnanswered: organisation => this.handleUnanswered(organisation),
    });
  }

  /** Creates a client without allowances. */
  static create(options: QuotaClientOptions): QuotaClient {
    return new QuotaClient(options);
  }

  /** What the client has done since its start. */
  get counts(): QuotaCounts {
    return this.currentCounts;
  }

  override acquire({name, quota}: Organisation): Promise<QuotaDecision> {
    if (quota === undefined) return GRANTED_AT_ONCE;
    const now = this.options.timer.now();
    this.checkSuspension();
    const organisation = this.find(name, quota, now);
    organisation.record(now);
    if (organisation.allowance.take(now)) {
      organisation.recentUse.record(now);
      this.currentCounts.granted++;
      if (organisation.wantsPrefetch(now)) this.requester.request(organisation);
      return GRANTED_AT_ONCE;
    }
    if (organisation.isPaused(now)) {
      return Promise.resolve(this.refuse(organisation));
    }
    if (
      organisation.recentUse.take(now) ||
      this.takeReserve(organisation, now)
    ) {
      this.currentCounts.granted++;
      this.currentCounts.reserveUsed++;
      this.repeatIfNeeded(organisation);
      return GRANTED_AT_ONCE;
    }
    return this.wait(organisation);
  }

  override giveBack({name, quota}: Organisation, grantedAt: number): void {
    if (quota === undefined) return;
    const organisation = this.organisations.get(name);
    organisation?.allowance.putBack(grantedAt, this.options.timer.now());
  }

  private wait(organisation: OrganisationDemand): Promise<QuotaDecision> {
    const {timer} = this.options;
    const decision = new Promise<QuotaDecision>(resolve => {
      const operation = {
        decide: (decided: QuotaDecision) => {
          cancel();
          resolve(decided);
        },
      };
      const cancel = timer.once(WAIT_MILLISECONDS, () => {
        const index = organisation.waiting.indexOf(operation);
        if (index < 0) return;
        organisation.waiting.splice(index, 1);
        this.scheduleWithoutCoordinator(organisation);
        resolve(this.refuse(organisation));
      });
      organisation.waiting.push(operation);
    });
    if (organisation.inFlightSince === undefined) {
      this.requester.request(organisation);
    }
    return decision;
  }

  private applyAnswer(
    organisation: OrganisationDemand,
    answer: GrantAnswer,
    sentAt: number,
  ): void {
    const now = this.options.timer.now();
    const [granted = 0, roomAfter, interval] = answer;
    organisation.allowance.add(granted, sentAt);
    const {waiting} = organisation;
    while (waiting.length > 0 && organisation.allowance.take(now)) {
      organisation.recentUse.record(now);
      this.currentCounts.granted++;
      waiting.shift()?.decide(GRANTED);
    }
    if (roomAfter !== undefined && interval !== undefined) {
      organisation.pause(now, roomAfter, interval);
      for (const operation of waiting.splice(0)) {
        operation.decide(this.refuse(organisation));
      }
    }
    this.repeatIfNeeded(organisation);
  }

  /** Lets waiting operations run at the recent rate, and requests again. */
  private handleUnanswered(organisation: OrganisationDemand): void {
    const {waiting, recentUse} = organisation;
    const now = this.options.timer.now();
    while (waiting.length > 0 && recentUse.take(now)) {
      this.currentCounts.granted++;
      this.currentCounts.reserveUsed++;
      waiting.shift()?.decide(GRANTED);
    }
    this.repeatIfNeeded(organisation);
  }

  private repeatIfNeeded(organisation: OrganisationDemand): void {
    const {inFlightSince, waiting, reserve, recentUse, lastUsedAt} =
      organisation;
    if (inFlightSince !== undefined) return;
    const isRecent =
      this.options.timer.now() - lastUsedAt < REPEAT_PERIOD_MILLISECONDS;
    const isUnanswered = reserve.isInUse || recentUse.isInOutage;
    if (waiting.length > 0 || (isUnanswered && isRecent)) {
      this.requester.request(organisation);
    }
  }

  private takeReserve(organisation: OrganisationDemand, now: number): boolean {
    if (!organisation.reserve.isInUse) return false;
    if (!this.options.coordinator.checkConnection()) {
      organisation.reserve.reset();
      return false;
    }
    const {quota} = organisation;
    const count = Math.max(1, this.options.coordinator.knownMachineCount);
    return organisation.reserve.take(
      now,
      quota.operationsPerSecond / count,
      Math.max(1, bucketCapacity(quota) / count),
    );
  }

  /** Spaces callers by the rate, because no coordinator has stated a time. */
  private scheduleWithoutCoordinator({
    retries,
    quota,
  }: OrganisationDemand): void {
    const interval = MILLISECONDS_PER_SECOND / quota.operationsPerSecond;
    const now = this.options.timer.now();
    retries.update(now + NO_COORDINATOR_RETRY_MILLISECONDS, interval);
  }

  private refuse({retries}: OrganisationDemand): QuotaDecision {
    this.currentCounts.refused++;
    const retryAfterMilliseconds = retries.next(this.options.timer.now());
    return {kind: 'refused', retryAfterMilliseconds};
  }

  /**
   * Drops all allowances after a suspension; returns the suspensions so far.
   */
  private checkSuspension(): number {
    const count = this.suspensions.count();
    if (count !== this.suspensionCount) {
      this.suspensionCount = count;
      for (const {allowance, recentUse} of this.organisations.values()) {
        allowance.drop();
        recentUse.clear();
      }
    }
    return count;
  }

  private find(name: string, quota: Quota, now: number): OrganisationDemand {
    const known = this.organisations.get(name);
    if (known !== undefined) {
      known.quota = quota;
      return known;
    }
    this.pruneIfDue(now);
    const created = OrganisationDemand.create(name, shardOf(name), quota, now);
    this.organisations.set(name, created);
    return created;
  }

  private pruneIfDue(now: number): void {
    if (this.organisations.size < MAXIMUM_IDLE_ORGANISATIONS) return;
    if (now - this.prunedAt < PRUNE_INTERVAL_MILLISECONDS) return;
    this.prunedAt = now;
    for (const [name, organisation] of this.organisations) {
      if (organisation.isIdle(now, IDLE_MILLISECONDS)) {
        this.organisations.delete(name);
      }
    }
  }
}
