import {Observable} from '@apricotlock/flow';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {OrganisationDemand} from './organisation_demand.js';
import {QuotaCoordinator} from './quota_coordinator.js';
import {MutableQuotaCounts} from './quota_counts.js';
import {GRANT_VALIDITY_MILLISECONDS} from './quota_limits.js';
import {GRANT, GrantAnswer, GrantItem} from './quota_messages.js';
import {coordinatorOf} from './quota_shards.js';

/** After this time without an answer a request may be sent again. */
const REPEAT_MILLISECONDS = 100;

/** Dependencies of {@link GrantRequester}. */
export interface GrantRequesterOptions {
  readonly self: string;
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  readonly coordinator: QuotaCoordinator;
  readonly counts: MutableQuotaCounts;
  /** Changes when answers to earlier requests must not be used any more. */
  readonly epoch: () => number;
  /** Called with an answer and the time of its request. */
  readonly onAnswer: (
    organisation: OrganisationDemand,
    answer: GrantAnswer,
    sentAt: number,
  ) => void;
  /** Called when a request may be sent again. */
  readonly onUnanswered: (organisation: OrganisationDemand) => void;
}

interface Batch {
  readonly coordinator: VirtualMachine;
  readonly organisations: readonly OrganisationDemand[];
}

/**
 * Sends requests for allowances to coordinators. Requests to one coordinator
 * made in one turn of the event loop share a message.
 */
export class GrantRequester {
  /** Organisations whose requests wait for the end of the turn. */
  private queued: OrganisationDemand[] = [];
  /** The coordinators by shard, for one list of VMs. */
  private coordinators = new Map<number, VirtualMachine | undefined>();
  private coordinatorsOf: readonly VirtualMachine[] | undefined;

  private constructor(private readonly options: GrantRequesterOptions) {}

  /** Creates a requester that has sent nothing. */
  static create(options: GrantRequesterOptions): GrantRequester {
    return new GrantRequester(options);
  }

  /** Requests operations; the organisation must have no request in flight. */
  request(organisation: OrganisationDemand): void {
    organisation.inFlightSince = this.options.timer.now();
    if (this.findCoordinator(organisation.shard)?.name === this.options.self) {
      this.requestLocally(organisation);
      return;
    }
    this.queued.push(organisation);
    if (this.queued.length === 1) setImmediate(() => this.sendQueued());
  }

  private requestLocally(organisation: OrganisationDemand): void {
    const {self, coordinator, timer} = this.options;
    const sentAt = timer.now();
    const item = this.start(organisation, sentAt);
    const result = coordinator.grant({from: self, items: [item]});
    organisation.outstanding--;
    const answer = result.toMaybe().extract()?.answers[0];
    if (answer === undefined || answer.length === 0) {
      this.scheduleRepeat([organisation], sentAt);
    }
    if (answer !== undefined) this.accept(organisation, answer, sentAt);
  }

  private sendQueued(): void {
    const now = this.options.timer.now();
    const batches = new Map<string | undefined, Batch>();
    const withoutCoordinator: OrganisationDemand[] = [];
    for (const organisation of this.queued) {
      const coordinator = this.findCoordinator(organisation.shard);
      if (coordinator === undefined) {
        organisation.inFlightSince = now;
        withoutCoordinator.push(organisation);
        continue;
      }
      const {name} = coordinator;
      const organisations = batches.get(name)?.organisations ?? [];
      batches.set(name, {
        coordinator,
        organisations: [...organisations, organisation],
      });
    }
    this.queued = [];
    for (const batch of batches.values()) void this.send(batch);
    this.scheduleRepeat(withoutCoordinator, now);
  }

  private async send({coordinator, organisations}: Batch): Promise<void> {
    const {self, network, timer, counts, epoch} = this.options;
    const sentAt = timer.now();
    const sentEpoch = epoch();
    const items = organisations.map(organisation =>
      this.start(organisation, sentAt),
    );
    counts.messages++;
    const cancelRepeat = this.scheduleRepeat(organisations, sentAt);
    const result = await network.call(
      coordinator.peerAddress,
      GRANT,
      {from: self, items},
      GRANT_VALIDITY_MILLISECONDS,
    );
    for (const organisation of organisations) organisation.outstanding--;
    const answers = result.toMaybe().extract()?.answers;
    // Whatever was granted before a suspension may have expired.
    if (answers === undefined || epoch() !== sentEpoch) return;
    const isAnswered = (_: unknown, index: number) =>
      (answers[index] ?? []).length > 0;
    if (organisations.every(isAnswered)) cancelRepeat();
    organisations.forEach((organisation, index) => {
      const answer = answers[index];
      if (answer !== undefined) this.accept(organisation, answer, sentAt);
    });
  }

  private start(organisation: OrganisationDemand, now: number): GrantItem {
    this.options.counts.requests++;
    return organisation.startRequest(now);
  }

  private accept(
    organisation: OrganisationDemand,
    answer: GrantAnswer,
    sentAt: number,
  ): void {
    // Another VM may still grant, so that the reserve must not be used.
    organisation.reserve.reset();
    // The receiver does not coordinate the organisation. The request stays in
    // flight until it is repeated, perhaps to another VM.
    if (answer.length === 0) {
      organisation.misdirectedAt = sentAt;
      return;
    }
    organisation.recentUse.endOutage();
    // A later request may be in flight if this answer took long.
    if (organisation.inFlightSince === sentAt) {
      organisation.inFlightSince = undefined;
    }
    this.options.onAnswer(organisation, answer, sentAt);
  }

  /** Lets organisations request again if their answers do not come in time. */
  private scheduleRepeat(
    organisations: readonly OrganisationDemand[],
    sentAt: number,
  ): () => void {
    if (organisations.length === 0) return () => undefined;
    return this.options.timer.once(REPEAT_MILLISECONDS, () => {
      for (const organisation of organisations) {
        if (organisation.inFlightSince !== sentAt) continue;
        this.options.counts.unanswered++;
        organisation.inFlightSince = undefined;
        organisation.recentUse.beginOutage(sentAt);
        if (organisation.misdirectedAt !== sentAt) {
          organisation.reserve.onUnanswered(sentAt);
        }
        this.options.onUnanswered(organisation);
      }
    });
  }

  private findCoordinator(shard: number): VirtualMachine | undefined {
    const machines = this.options.machines.current;
    if (machines !== this.coordinatorsOf) {
      this.coordinatorsOf = machines;
      this.coordinators = new Map();
    }
    if (!this.coordinators.has(shard)) {
      this.coordinators.set(shard, coordinatorOf(shard, machines));
    }
    return this.coordinators.get(shard);
  }
}
