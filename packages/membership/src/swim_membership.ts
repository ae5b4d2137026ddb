import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {KeyRing} from '@apricotlock/peer';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {
  Address,
  formatAddress,
  VirtualMachine,
  VirtualMachineState,
} from '@apricotlock/topology';
import {DatagramBody} from './datagram_codec.js';
import {
  DatagramEndpoint,
  splitIntoDatagrams,
  ReceivedDatagram,
  RecordBudget,
} from './datagram_endpoint.js';
import {DatagramTransport} from './datagram_transport.js';
import {isLive, MemberRecord, supersedes} from './member_record.js';
import {MemberTable} from './member_table.js';
import {Membership} from './membership.js';
import {ProbeTargetSelector, RandomSource} from './probe_target_selector.js';
import {Prober} from './prober.js';
import {StallDetector} from './stall_detector.js';
import {UpdateQueue} from './update_queue.js';

/** One process is probed in each period. */
const PROBE_PERIOD_MILLISECONDS = 250;
/** How many processes probe on behalf of one whose direct probe failed. */
const INDIRECT_PROBE_HELPERS = 3;
/**
 * How long a suspect has to refute the suspicion of a process that probed it
 * without success.
 */
const SUSPICION_TIMEOUT_MILLISECONDS = 500;
/**
 * How long a suspect has to refute at a process that only received the
 * suspicion. Longer, so that the verdict of the probing process arrives first.
 */
const GOSSIP_SUSPICION_TIMEOUT_MILLISECONDS = 5_000;
/**
 * For this time after a stall of this process, its failed probes are ignored
 * and its death verdicts are deferred.
 */
const STALL_GRACE_MILLISECONDS = 1_000;
/** How many random processes an urgent record is sent to immediately. */
const GOSSIP_FAN_OUT = 16;
/** Expected number of receivers of a suspicion that notify the suspect. */
const EXPECTED_SUSPECT_NOTICES = 8;
/** How often the departure of this process is sent to a random sample. */
const LEAVE_GOSSIP_ROUNDS = 2;
const LEAVE_GOSSIP_INTERVAL_MILLISECONDS = 30;
/** Changes of the table within this delay are published together. */
const PUBLISH_DELAY_MILLISECONDS = 10;
/** The interval at which a digest is sent to a random process. */
const SYNCHRONIZATION_INTERVAL_PERIODS = 20;
/** The interval at which a dead process or an unknown seed is contacted. */
const RECONNECT_INTERVAL_PERIODS = 8;
/** During these first periods, every unknown seed is contacted. */
const JOIN_PHASE_PERIODS = 40;
/** How long the table must be unchanged before queued updates are dropped. */
const SETTLE_MILLISECONDS = 10_000;
/** The interval at which expired records are removed. */
const CLEANUP_INTERVAL_PERIODS = 240;
/** Limits the datagrams sent in response to one digest that differs. */
const MAXIMUM_TABLE_PART_DATAGRAMS = 16;

/** Options of {@link SwimMembership}. */
export interface SwimOptions {
  readonly self: VirtualMachine;
  readonly seeds: readonly Address[];
  readonly transport: DatagramTransport;
  readonly keys: Observable<KeyRing>;
  readonly timer: TimerService;
  readonly logger: Logger;
  /** Used for all random choices; tests pass a seeded source. */
  readonly random?: RandomSource;
}

/**
 * Membership with the SWIM protocol. Each process probes one other process per
 * period and piggybacks updates on the probes, so that the cost per process
 * does not grow with the number of processes. Source: Das, Gupta and Motivala,
 * "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
 * Protocol", 2002. In addition, a process that is considered dead may refute
 * this, and processes compare digests of their tables, so that both sides of a
 * healed partition join again.
 */
export class SwimMembership extends Membership {
  override readonly machines: Observable<readonly VirtualMachine[]>;
  private readonly table: MemberTable;
  private readonly updates = UpdateQueue.create();
  private readonly endpoint: DatagramEndpoint;
  private readonly prober: Prober;
  private readonly targetSelector: ProbeTargetSelector;
  private readonly stallDetector: StallDetector;
  private readonly random: RandomSource;
  private readonly stopProbing: Unsubscribe;
  private ownRecord: MemberRecord;
  private periodCount = 0;
  private lastChangeAt = 0;
  private needsSynchronization = true;
  private isPublishScheduled = false;
  private hasLeft = false;
  private seedsComputedFor: readonly VirtualMachine[] | undefined;
  private cachedUnknownSeeds: readonly Address[] = [];
  private seeds: readonly Address[];

  private constructor(private readonly options: SwimOptions) {
    super();
    const {self, timer, transport, keys, seeds} = options;
    this.seeds = seeds;
    this.ownRecord = {machine: self, refutation: 0, standing: 'alive'};
    this.random = options.random ?? Math.random;
    this.machines = Observable.of<readonly VirtualMachine[]>([self]);
    this.table = MemberTable.create(timer);
    this.table.merge(this.ownRecord);
    this.targetSelector = ProbeTargetSelector.create(
      self.name,
      this.table,
      this.random,
    );
    this.prober = Prober.create(timer, (to, body) => this.send(to, body));
    this.stallDetector = StallDetector.start(timer);
    const {name, incarnation, peerAddress: address} = self;
    this.endpoint = DatagramEndpoint.start(
      {name, incarnation, address, transport, keys},
      datagram => this.handleDatagram(datagram),
    );
    this.stopProbing = timer.every(PROBE_PERIOD_MILLISECONDS, () =>
      this.runPeriod(),
    );
  }

  /** Starts the membership of this process and joins through the seeds. */
  static start(options: SwimOptions): SwimMembership {
    const membership = new SwimMembership(options);
    membership.updates.push(membership.ownRecord);
    membership.reconnect();
    return membership;
  }

  /** Replaces the seeds, which are contacted while they are not known. */
  setSeeds(seeds: readonly Address[]): void {
    this.seeds = seeds;
    this.seedsComputedFor = undefined;
  }

  override announce(state: VirtualMachineState): void {
    this.updateOwnRecord(
      {...this.ownRecord.machine, state},
      this.ownRecord.refutation + 1,
    );
    this.publish();
  }

  override async leave(): Promise<void> {
    if (this.hasLeft) return;
    this.hasLeft = true;
    this.stopProbing();
    this.stallDetector.stop();
    this.ownRecord = {...this.ownRecord, standing: 'left'};
    for (let repeat = 0; repeat < LEAVE_GOSSIP_ROUNDS; repeat++) {
      this.gossip(this.ownRecord);
      await this.options.timer.sleep(LEAVE_GOSSIP_INTERVAL_MILLISECONDS);
    }
    await this.options.transport.close();
  }

  private runPeriod(): void {
    this.periodCount += 1;
    const target = this.table.find(this.targetSelector.selectTarget() ?? '');
    if (target !== undefined) void this.probe(target);
    if (
      this.needsSynchronization ||
      this.periodCount % SYNCHRONIZATION_INTERVAL_PERIODS === 0
    ) {
      this.synchronize();
    }
    if (this.isAlone() || this.periodCount % RECONNECT_INTERVAL_PERIODS === 0) {
      this.reconnect();
    } else if (this.periodCount <= JOIN_PHASE_PERIODS) {
      this.contactUnknownSeeds();
    }
    if (this.periodCount % CLEANUP_INTERVAL_PERIODS === 0) {
      this.endpoint.forgetSenders(this.table.removeExpired());
    }
  }

  private async probe(target: MemberRecord): Promise<void> {
    const {name, peerAddress} = target.machine;
    const reached = await this.prober.canReach(peerAddress, () =>
      this.targetSelector
        .sample(INDIRECT_PROBE_HELPERS, name)
        .map(helper => this.addressOf(helper)),
    );
    if (reached || this.hasLeft) return;
    // After a stall of this process, the answer may have arrived but not been
    // read yet.
    if (this.stallDetector.hasStalledWithin(STALL_GRACE_MILLISECONDS)) return;
    this.suspect(name);
  }

  private suspect(name: string): void {
    const known = this.table.find(name);
    if (known === undefined || !isLive(known)) return;
    const suspicion: MemberRecord = {...known, standing: 'suspect'};
    if (this.table.merge(suspicion)) {
      this.options.logger.debug('VM suspected: probes failed', {name});
      this.updates.push(suspicion);
      this.gossip(suspicion);
    }
    this.send(known.machine.peerAddress, {kind: 'records'}, [suspicion]);
    this.scheduleDeathVerdict(suspicion, SUSPICION_TIMEOUT_MILLISECONDS);
  }

  /** Declares a suspect dead unless it refutes within `milliseconds`. */
  private scheduleDeathVerdict(
    suspicion: MemberRecord,
    milliseconds: number,
  ): void {
    this.options.timer.once(milliseconds, () => {
      const known = this.table.find(suspicion.machine.name);
      const isStillSuspect =
        known !== undefined &&
        known.standing === 'suspect' &&
        !supersedes(known, suspicion);
      if (this.hasLeft || !isStillSuspect) return;
      if (this.stallDetector.hasStalledWithin(STALL_GRACE_MILLISECONDS)) {
        this.scheduleDeathVerdict(suspicion, STALL_GRACE_MILLISECONDS);
        return;
      }
      const deadRecord: MemberRecord = {...known, standing: 'dead'};
      this.mergeRecord(deadRecord, true);
      this.gossip(deadRecord);
    });
  }

  private handleDatagram({
    from,
    sender,
    body,
    records,
  }: ReceivedDatagram): void {
    if (this.hasLeft) return;
    const shouldPropagate = body.kind !== 'tablePart';
    const newFlags = records.map(record =>
      this.receiveRecord(record, shouldPropagate),
    );
    // A plain switch, since datagrams are most of the work of an idle process.
    switch (body.kind) {
      case 'ping': {
        const records = this.getRecordsToRefute(sender);
        return this.send(from, {kind: 'ack', probe: body.probe}, records);
      }
      case 'ack':
        return this.prober.recordAcknowledgement(body.probe);
      case 'pingThrough': {
        const [host, port] = body.target;
        void this.prober.pingOnBehalf(from, body.probe, {host, port});
        return;
      }
      case 'digest':
        return this.compareDigest(from, body.digest, body.answers);
      case 'records':
        return;
      case 'tablePart':
        // One exchange may not have carried all missing records.
        if (newFlags.includes(true)) this.needsSynchronization = true;
    }
  }

  /** Processes a received record. Returns whether it was new. */
  private receiveRecord(
    record: MemberRecord,
    shouldPropagate: boolean,
  ): boolean {
    const {name} = record.machine;
    if (name === this.ownRecord.machine.name) {
      this.receiveOwnRecord(record);
      return false;
    }
    if (!this.mergeRecord(record, shouldPropagate)) return false;
    if (record.standing === 'suspect') {
      this.notifySuspect(record);
      this.scheduleDeathVerdict(record, GOSSIP_SUSPICION_TIMEOUT_MILLISECONDS);
    }
    return true;
  }

  private mergeRecord(record: MemberRecord, shouldPropagate: boolean): boolean {
    const {name, state} = record.machine;
    const known = this.table.find(name);
    if (!this.table.merge(record)) return false;
    this.lastChangeAt = this.options.timer.now();
    if (shouldPropagate) this.updates.push(record);
    this.schedulePublish();
    // Processes often join at the same time, so others may be unknown too.
    if (known === undefined) this.needsSynchronization = true;
    if (known?.standing !== record.standing) {
      const {standing} = record;
      this.options.logger.info('VM liveness changed', {name, standing, state});
    }
    return true;
  }

  private receiveOwnRecord(record: MemberRecord): void {
    const {ownRecord} = this;
    if (!supersedes(record, ownRecord)) return;
    const {machine, refutation, standing} = record;
    const hasOtherAddress =
      formatAddress(machine.peerAddress) !==
      formatAddress(ownRecord.machine.peerAddress);
    if (hasOtherAddress && isLive(record)) {
      const address = formatAddress(machine.peerAddress);
      this.options.logger.error('another live VM has the same name', {address});
      return;
    }
    this.options.logger.warn('refuting a newer record of this VM', {standing});
    if (machine.incarnation === ownRecord.machine.incarnation) {
      this.updateOwnRecord(ownRecord.machine, refutation + 1);
      return;
    }
    // The clock went back between two starts, so this start has to take a
    // higher incarnation than the earlier one.
    const incarnation = machine.incarnation + 1;
    this.endpoint.setIncarnation(incarnation);
    this.updateOwnRecord({...ownRecord.machine, incarnation}, 0);
  }

  private updateOwnRecord(machine: VirtualMachine, refutation: number): void {
    this.ownRecord = {machine, refutation, standing: 'alive'};
    this.table.merge(this.ownRecord);
    this.updates.push(this.ownRecord);
    this.gossip(this.ownRecord);
  }

  /**
   * Sends a suspicion to the suspect, so that it can refute. Some of the
   * processes that receive a suspicion do so, because the process that raised
   * it may be unable to reach the suspect.
   */
  private notifySuspect(suspicion: MemberRecord): void {
    const live = this.table.liveCount;
    if (this.random() * live > EXPECTED_SUSPECT_NOTICES) return;
    const {peerAddress} = suspicion.machine;
    this.send(peerAddress, {kind: 'records'}, [suspicion]);
  }

  /** Returns the record of `sender` unless it is alive, so it can refute. */
  private getRecordsToRefute(sender: string): readonly MemberRecord[] {
    const known = this.table.find(sender);
    if (known === undefined) this.needsSynchronization = true;
    return known === undefined || known.standing === 'alive' ? [] : [known];
  }

  private synchronize(): void {
    this.needsSynchronization = false;
    const [partner] = this.targetSelector.sample(1);
    if (partner !== undefined) this.sendDigest(this.addressOf(partner), true);
  }

  private sendDigest(
    to: Address,
    answers: boolean,
    records: readonly MemberRecord[] = [],
  ): void {
    const digest = this.table.digest();
    this.send(to, {kind: 'digest', digest, answers}, records);
  }

  private compareDigest(
    from: Address,
    digest: Uint8Array,
    answers: boolean,
  ): void {
    if (this.table.matches(digest)) {
      const unchangedFor = this.options.timer.now() - this.lastChangeAt;
      if (unchangedFor > SETTLE_MILLISECONDS) this.updates.dropSynchronized();
      return;
    }
    const batches = splitIntoDatagrams(this.table.collectDifferences(digest));
    const firstBatch = Math.floor(this.random() * batches.length);
    const count = Math.min(batches.length, MAXIMUM_TABLE_PART_DATAGRAMS);
    for (let index = 0; index < count; index++) {
      const records = batches[(firstBatch + index) % batches.length];
      this.endpoint.send(from, {kind: 'tablePart'}, records);
    }
    if (answers) this.sendDigest(from, false);
  }

  /**
   * Sends a digest to each unknown seed. Without this, processes that start
   * together and find only some of the others could stay separated from the
   * rest until one of the rest happens to contact them.
   */
  private contactUnknownSeeds(): void {
    for (const seed of this.getUnknownSeeds()) {
      this.sendDigest(seed, true, [this.ownRecord]);
    }
  }

  /** Sends a digest to a random dead process or unknown seed. */
  private reconnect(): void {
    const dead = this.table.listDeadRecords();
    const seeds = this.getUnknownSeeds();
    const chosenIndex = Math.floor(
      this.random() * (dead.length + seeds.length),
    );
    const record = dead[chosenIndex];
    const to = record?.machine.peerAddress ?? seeds[chosenIndex - dead.length];
    if (to === undefined) return;
    const records =
      record === undefined ? [this.ownRecord] : [this.ownRecord, record];
    this.sendDigest(to, true, records);
  }

  private getUnknownSeeds(): readonly Address[] {
    const {current} = this.machines;
    if (current === this.seedsComputedFor) return this.cachedUnknownSeeds;
    const live = new Set(
      current.map(({peerAddress}) => formatAddress(peerAddress)),
    );
    this.seedsComputedFor = current;
    this.cachedUnknownSeeds = this.seeds.filter(
      seed => !live.has(formatAddress(seed)),
    );
    return this.cachedUnknownSeeds;
  }

  /** Sends a record to a random sample of processes immediately. */
  private gossip(record: MemberRecord): void {
    for (const name of this.targetSelector.sample(GOSSIP_FAN_OUT)) {
      this.send(this.addressOf(name), {kind: 'records'}, [record]);
    }
  }

  /** Sends a body with `requiredRecords` and as many queued updates as fit. */
  private send(
    to: Address,
    body: DatagramBody,
    requiredRecords: readonly MemberRecord[] = [],
  ): void {
    const budget = RecordBudget.forPiggyback();
    for (const record of requiredRecords) budget.tryAdd(record);
    const live = this.table.liveCount;
    const piggybackedRecords = this.updates.takeBatch(
      live,
      record => !requiredRecords.includes(record) && budget.tryAdd(record),
    );
    this.endpoint.send(to, body, [...requiredRecords, ...piggybackedRecords]);
  }

  private addressOf(name: string): Address {
    return (this.table.find(name) as MemberRecord).machine.peerAddress;
  }

  private isAlone(): boolean {
    return this.table.liveCount <= 1;
  }

  private schedulePublish(): void {
    if (this.isPublishScheduled) return;
    this.isPublishScheduled = true;
    this.options.timer.once(PUBLISH_DELAY_MILLISECONDS, () => {
      this.isPublishScheduled = false;
      if (!this.hasLeft) this.publish();
    });
  }

  private publish(): void {
    const machines = this.table.listLiveMachines();
    if (!areEqual(machines, this.machines.current)) this.machines.set(machines);
  }
}

function areEqual(
  first: readonly VirtualMachine[],
  second: readonly VirtualMachine[],
): boolean {
  return (
    first.length === second.length &&
    first.every((machine, index) => {
      const other = second[index] as VirtualMachine;
      return (
        machine.name === other.name &&
        machine.incarnation === other.incarnation &&
        machine.state === other.state
      );
    })
  );
}
