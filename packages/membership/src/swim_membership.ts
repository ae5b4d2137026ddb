import {match} from 'ts-pattern';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {SecretRing} from '@apricotlock/peer';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {
  Address,
  formatAddress,
  VirtualMachine,
  VirtualMachineState,
} from '@apricotlock/topology';
import {DatagramBody} from './datagram_codec.js';
import {
  DatagramLink,
  intoDatagrams,
  ReceivedDatagram,
  RecordRoom,
} from './datagram_link.js';
import {DatagramTransport} from './datagram_transport.js';
import {isLive, MemberRecord, supersedes} from './member_record.js';
import {MemberTable} from './member_table.js';
import {Membership} from './membership.js';
import {ProbeOrder, RandomSource} from './probe_order.js';
import {Prober} from './prober.js';
import {StallWatch} from './stall_watch.js';
import {UpdateQueue} from './update_queue.js';

const PROBE_PERIOD_MILLISECONDS = 250;
const HELPERS = 3;
/** How long a suspect may refute to the process that probed it in vain. */
const SUSPICION_MILLISECONDS = 500;
/** The same for those who only heard of it; they hear the verdict first. */
const HEARSAY_SUSPICION_MILLISECONDS = 5_000;
const STALL_MEMORY_MILLISECONDS = 1_000;
const BROADCAST_FAN_OUT = 16;
const WARNINGS_TO_SUSPECT = 8;
const LEAVE_REPEATS = 2;
const LEAVE_PAUSE_MILLISECONDS = 30;
const PUBLISH_DELAY_MILLISECONDS = 10;
const SYNCHRONIZE_EVERY_PERIODS = 20;
const RECONNECT_EVERY_PERIODS = 8;
/** For so long after its start a process greets every seed it misses. */
const JOINING_PERIODS = 40;
const SETTLED_AFTER_MILLISECONDS = 10_000;
const FORGET_EVERY_PERIODS = 240;
const MAXIMUM_SYNCHRONIZATION_DATAGRAMS = 16;

/** What SWIM needs. */
export interface SwimOptions {
  readonly self: VirtualMachine;
  readonly seeds: readonly Address[];
  readonly transport: DatagramTransport;
  readonly keys: Observable<SecretRing>;
  readonly timer: TimerService;
  readonly logger: Logger;
  /** For whom to probe; tests give one with a fixed seed. */
  readonly random?: RandomSource;
}

/**
 * Membership by probing one process a period, and spreading what is found on
 * the probes themselves, so that the cost of a process does not grow with
 * their number. Source: Das, Gupta and Motivala, "SWIM: Scalable
 * Weakly-consistent Infection-style Process Group Membership Protocol", 2002.
 * Beyond it: a process thought dead may refute that, and processes compare
 * digests of their tables, so that a healed partition joins again.
 */
export class SwimMembership extends Membership {
  override readonly machines: Observable<readonly VirtualMachine[]>;
  private readonly table: MemberTable;
  private readonly updates = UpdateQueue.create();
  private readonly link: DatagramLink;
  private readonly prober: Prober;
  private readonly order: ProbeOrder;
  private readonly stalls: StallWatch;
  private readonly random: RandomSource;
  private readonly stopRounds: Unsubscribe;
  private own: MemberRecord;
  private rounds = 0;
  private newsAt = 0;
  private behind = true;
  private publishing = false;
  private left = false;
  private seedsCheckedFor: readonly VirtualMachine[] | undefined;
  private seedsUnknown: readonly Address[] = [];
  private seeds: readonly Address[];

  private constructor(private readonly options: SwimOptions) {
    super();
    const {self, timer, transport, keys, seeds} = options;
    this.seeds = seeds;
    this.own = {machine: self, refutation: 0, standing: 'alive'};
    this.random = options.random ?? Math.random;
    this.machines = Observable.of<readonly VirtualMachine[]>([self]);
    this.table = MemberTable.create(timer);
    this.table.offer(this.own);
    this.order = ProbeOrder.create(self.name, this.table, this.random);
    this.prober = Prober.create(timer, (to, body) => this.send(to, body));
    this.stalls = StallWatch.start(timer);
    const {name, incarnation, peerAddress: address} = self;
    this.link = DatagramLink.start(
      {name, incarnation, address, transport, keys},
      datagram => this.received(datagram),
    );
    this.stopRounds = timer.every(PROBE_PERIOD_MILLISECONDS, () =>
      this.round(),
    );
  }

  /** Joins the others through the seeds. */
  static start(options: SwimOptions): SwimMembership {
    const membership = new SwimMembership(options);
    membership.updates.push(membership.own);
    membership.reconnect();
    return membership;
  }

  /** Takes over other seeds, through which to find who is not known. */
  setSeeds(seeds: readonly Address[]): void {
    this.seeds = seeds;
    this.seedsCheckedFor = undefined;
  }

  override announce(state: VirtualMachineState): void {
    this.renew({...this.own.machine, state}, this.own.refutation + 1);
    this.publish();
  }

  override async leave(): Promise<void> {
    if (this.left) return;
    this.left = true;
    this.stopRounds();
    this.stalls.stop();
    this.own = {...this.own, standing: 'left'};
    for (let repeat = 0; repeat < LEAVE_REPEATS; repeat++) {
      this.broadcast(this.own);
      await this.options.timer.sleep(LEAVE_PAUSE_MILLISECONDS);
    }
    await this.options.transport.close();
  }

  private round(): void {
    this.rounds += 1;
    const target = this.table.find(this.order.next() ?? '');
    if (target !== undefined) void this.probe(target);
    if (this.behind || this.rounds % SYNCHRONIZE_EVERY_PERIODS === 0) {
      this.synchronize();
    }
    if (this.isAlone() || this.rounds % RECONNECT_EVERY_PERIODS === 0) {
      this.reconnect();
    } else if (this.rounds <= JOINING_PERIODS) {
      this.greetSeeds();
    }
    if (this.rounds % FORGET_EVERY_PERIODS === 0) {
      this.link.forget(this.table.forget());
    }
  }

  private async probe(target: MemberRecord): Promise<void> {
    const {name, peerAddress} = target.machine;
    const reached = await this.prober.reaches(peerAddress, () =>
      this.order.sample(HELPERS, name).map(helper => this.addressOf(helper)),
    );
    if (reached || this.left) return;
    // After a stall the answers wait unread: the silence is this process's.
    if (this.stalls.stalledWithin(STALL_MEMORY_MILLISECONDS)) return;
    this.suspect(name);
  }

  private suspect(name: string): void {
    const known = this.table.find(name);
    if (known === undefined || !isLive(known)) return;
    const suspicion: MemberRecord = {...known, standing: 'suspect'};
    if (this.table.offer(suspicion)) {
      this.options.logger.debug('suspecting a VM', {name});
      this.updates.push(suspicion);
      this.broadcast(suspicion);
    }
    this.send(known.machine.peerAddress, {kind: 'records'}, [suspicion]);
    this.judgeLater(suspicion, SUSPICION_MILLISECONDS);
  }

  private judgeLater(suspicion: MemberRecord, milliseconds: number): void {
    this.options.timer.once(milliseconds, () => {
      const known = this.table.find(suspicion.machine.name);
      const stands =
        known !== undefined &&
        known.standing === 'suspect' &&
        !supersedes(known, suspicion);
      if (this.left || !stands) return;
      if (this.stalls.stalledWithin(STALL_MEMORY_MILLISECONDS)) {
        this.judgeLater(suspicion, STALL_MEMORY_MILLISECONDS);
        return;
      }
      const verdict: MemberRecord = {...known, standing: 'dead'};
      this.learn(verdict, true);
      this.broadcast(verdict);
    });
  }

  private received({from, sender, body, records}: ReceivedDatagram): void {
    if (this.left) return;
    const spread = body.kind !== 'tablePart';
    const news = records.map(record => this.hear(record, spread));
    match(body)
      .with({kind: 'ping'}, ({probe}) =>
        this.send(from, {kind: 'ack', probe}, this.rebuttalFor(sender)),
      )
      .with({kind: 'ack'}, ({probe}) => this.prober.acknowledged(probe))
      .with({kind: 'pingThrough'}, ({probe, target: [host, port]}) => {
        void this.prober.pingFor(from, probe, {host, port});
      })
      .with({kind: 'digest'}, ({digest, answers}) =>
        this.compare(from, digest, answers),
      )
      .with({kind: 'records'}, () => undefined)
      .with({kind: 'tablePart'}, () => {
        // More may be missing than one exchange could carry.
        if (news.includes(true)) this.behind = true;
      })
      .exhaustive();
  }

  /** Takes a record in; tells whether it was new. */
  private hear(record: MemberRecord, spread: boolean): boolean {
    const {name} = record.machine;
    if (name === this.own.machine.name) {
      this.hearOfSelf(record);
      return false;
    }
    if (!this.learn(record, spread)) return false;
    if (record.standing === 'suspect') {
      this.warn(record);
      this.judgeLater(record, HEARSAY_SUSPICION_MILLISECONDS);
    }
    return true;
  }

  private learn(record: MemberRecord, spread: boolean): boolean {
    const {name, state} = record.machine;
    const known = this.table.find(name);
    if (!this.table.offer(record)) return false;
    this.newsAt = this.options.timer.now();
    if (spread) this.updates.push(record);
    this.publishSoon();
    // One newcomer is seldom alone.
    if (known === undefined) this.behind = true;
    if (known?.standing !== record.standing) {
      const {standing} = record;
      this.options.logger.info('a VM changed', {name, standing, state});
    }
    return true;
  }

  private hearOfSelf(record: MemberRecord): void {
    const {own} = this;
    if (!supersedes(record, own)) return;
    const {machine, refutation, standing} = record;
    const elsewhere =
      formatAddress(machine.peerAddress) !==
      formatAddress(own.machine.peerAddress);
    if (elsewhere && isLive(record)) {
      const address = formatAddress(machine.peerAddress);
      this.options.logger.error('another VM has this name', {address});
      return;
    }
    this.options.logger.warn('refuting', {standing});
    if (machine.incarnation === own.machine.incarnation) {
      this.renew(own.machine, refutation + 1);
      return;
    }
    // The clock went back between two starts: this start has to be the newer.
    const incarnation = machine.incarnation + 1;
    this.link.restart(incarnation);
    this.renew({...own.machine, incarnation}, 0);
  }

  private renew(machine: VirtualMachine, refutation: number): void {
    this.own = {machine, refutation, standing: 'alive'};
    this.table.offer(this.own);
    this.updates.push(this.own);
    this.broadcast(this.own);
  }

  /**
   * Tells a suspect of a suspicion. Some of those who hear of it do so, for
   * whoever suspects it may be the one that cannot reach it.
   */
  private warn(suspicion: MemberRecord): void {
    const live = this.table.liveCount;
    if (this.random() * live > WARNINGS_TO_SUSPECT) return;
    const {peerAddress} = suspicion.machine;
    this.send(peerAddress, {kind: 'records'}, [suspicion]);
  }

  private rebuttalFor(sender: string): readonly MemberRecord[] {
    const known = this.table.find(sender);
    if (known === undefined) this.behind = true;
    return known === undefined || known.standing === 'alive' ? [] : [known];
  }

  private synchronize(): void {
    this.behind = false;
    const [partner] = this.order.sample(1);
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

  private compare(from: Address, digest: Uint8Array, answers: boolean): void {
    if (this.table.matches(digest)) {
      const quiet = this.options.timer.now() - this.newsAt;
      if (quiet > SETTLED_AFTER_MILLISECONDS) this.updates.settle();
      return;
    }
    const lists = intoDatagrams(this.table.differing(digest));
    const first = Math.floor(this.random() * lists.length);
    const count = Math.min(lists.length, MAXIMUM_SYNCHRONIZATION_DATAGRAMS);
    for (let index = 0; index < count; index++) {
      const records = lists[(first + index) % lists.length];
      this.link.send(from, {kind: 'tablePart'}, records);
    }
    if (answers) this.sendDigest(from, false);
  }

  /**
   * Processes that start together find some others first, and would stay
   * apart from the rest until one of them happened to greet it.
   */
  private greetSeeds(): void {
    for (const seed of this.unknownSeeds()) {
      this.sendDigest(seed, true, [this.own]);
    }
  }

  /** Greets a process that is thought dead, or a seed that is not known. */
  private reconnect(): void {
    const dead = this.table.dead();
    const seeds = this.unknownSeeds();
    const chosen = Math.floor(this.random() * (dead.length + seeds.length));
    const record = dead[chosen];
    const to = record?.machine.peerAddress ?? seeds[chosen - dead.length];
    if (to === undefined) return;
    const records = record === undefined ? [this.own] : [this.own, record];
    this.sendDigest(to, true, records);
  }

  private unknownSeeds(): readonly Address[] {
    const {current} = this.machines;
    if (current === this.seedsCheckedFor) return this.seedsUnknown;
    const live = new Set(
      current.map(({peerAddress}) => formatAddress(peerAddress)),
    );
    this.seedsCheckedFor = current;
    this.seedsUnknown = this.seeds.filter(
      seed => !live.has(formatAddress(seed)),
    );
    return this.seedsUnknown;
  }

  private broadcast(record: MemberRecord): void {
    for (const name of this.order.sample(BROADCAST_FAN_OUT)) {
      this.send(this.addressOf(name), {kind: 'records'}, [record]);
    }
  }

  private send(
    to: Address,
    body: DatagramBody,
    first: readonly MemberRecord[] = [],
  ): void {
    const room = RecordRoom.riding();
    for (const record of first) room.take(record);
    const live = this.table.liveCount;
    const riding = this.updates.take(
      live,
      record => !first.includes(record) && room.take(record),
    );
    this.link.send(to, body, [...first, ...riding]);
  }

  private addressOf(name: string): Address {
    return (this.table.find(name) as MemberRecord).machine.peerAddress;
  }

  private isAlone(): boolean {
    return this.table.liveCount <= 1;
  }

  private publishSoon(): void {
    if (this.publishing) return;
    this.publishing = true;
    this.options.timer.once(PUBLISH_DELAY_MILLISECONDS, () => {
      this.publishing = false;
      if (!this.left) this.publish();
    });
  }

  private publish(): void {
    const machines = this.table.liveMachines();
    if (!isSame(machines, this.machines.current)) this.machines.set(machines);
  }
}

function isSame(
  left: readonly VirtualMachine[],
  right: readonly VirtualMachine[],
): boolean {
  return (
    left.length === right.length &&
    left.every((machine, index) => {
      const other = right[index] as VirtualMachine;
      return (
        machine.name === other.name &&
        machine.incarnation === other.incarnation &&
        machine.state === other.state
      );
    })
  );
}
