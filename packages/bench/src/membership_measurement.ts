import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {MemoryDatagramNetwork, SwimMembership} from '@apricotlock/membership';
import {createKeyRing} from '@apricotlock/peer';
import {ManualTimerService} from '@apricotlock/timer';
import {Address, VirtualMachine} from '@apricotlock/topology';

const ONE_WAY_DELAY_MILLISECONDS = 1;
const JOIN_LIMIT_MILLISECONDS = 120_000;
const SETTLE_MILLISECONDS = 30_000;
const STEADY_MILLISECONDS = 20_000;
const DEATH_COUNT = 5;
const DEATH_LIMIT_MILLISECONDS = 30_000;
const STEP_MILLISECONDS = 20;
const HEADER_BYTES_PER_DATAGRAM = 28;
const MICROSECONDS_PER_SECOND = 1_000_000;
const SEED_COUNT = 3;
const OPERATOR_PORT = 50_000;

/** Cost and speed of membership with a number of VMs. */
export interface MembershipCost {
  readonly machines: number;
  /** Time until all VMs, started at once, know each other, in seconds. */
  readonly joinSeconds: number;
  /** Bytes sent by one idle VM, including IP and UDP headers. */
  readonly bytesASecond: number;
  /** Processor time of one idle VM, in percent of a core. */
  readonly corePercent: number;
  /** Longest time until the first VM detected a death, in milliseconds. */
  readonly firstKnownMilliseconds: number;
  /** Longest time until all VMs knew of a death, in milliseconds. */
  readonly knownEverywhereMilliseconds: number;
  /** How often a VM regarded a live VM as dead, even if only briefly. */
  readonly falseDeaths: number;
}

/** Runs VMs in one process with a manual clock and in-memory datagrams. */
export class MembershipMeasurement {
  private readonly timer = ManualTimerService.create();
  private readonly network = MemoryDatagramNetwork.create(
    this.timer,
    ONE_WAY_DELAY_MILLISECONDS,
  );
  private readonly members: readonly SwimMembership[];
  private readonly dead = new Set<number>();
  private falseDeaths = 0;

  private constructor(count: number) {
    const keys = Observable.of(
      createKeyRing('an example key of many characters'),
    );
    this.members = Array.from({length: count}, (_, index) =>
      SwimMembership.start({
        self: createMachine(index),
        seeds: Array.from({length: SEED_COUNT}, (_seed, seedIndex) =>
          addressOf(seedIndex),
        ),
        transport: this.network.createTransport(addressOf(index)),
        keys,
        timer: this.timer,
        logger: Logger.silent(),
      }),
    );
  }

  /** Measures the membership of `count` VMs. */
  static async run(count: number): Promise<MembershipCost> {
    const measurement = new MembershipMeasurement(count);
    const joinMilliseconds = await measurement.waitUntil(
      () => measurement.allLiveMachinesSee(count),
      JOIN_LIMIT_MILLISECONDS,
    );
    await measurement.timer.advanceAsync(SETTLE_MILLISECONDS);
    measurement.countFalseDeaths();
    const steady = await measurement.measureSteadyCost();
    const deaths = await measurement.measureDeaths();
    return {
      machines: count,
      joinSeconds: joinMilliseconds / 1_000,
      ...steady,
      ...deaths,
      falseDeaths: measurement.falseDeaths,
    };
  }

  private async measureSteadyCost() {
    const {sentBytes, sentDatagrams} = this.network;
    const before = process.cpuUsage();
    await this.timer.advanceAsync(STEADY_MILLISECONDS);
    const {user, system} = process.cpuUsage(before);
    const bytes = this.network.sentBytes - sentBytes;
    const datagrams = this.network.sentDatagrams - sentDatagrams;
    const machineSeconds = (this.members.length * STEADY_MILLISECONDS) / 1_000;
    const wireBytes = bytes + datagrams * HEADER_BYTES_PER_DATAGRAM;
    const coreSeconds = (user + system) / MICROSECONDS_PER_SECOND;
    return {
      bytesASecond: wireBytes / machineSeconds,
      corePercent: (coreSeconds / machineSeconds) * 100,
    };
  }

  private async measureDeaths() {
    let firstKnownMilliseconds = 0;
    let knownEverywhereMilliseconds = 0;
    for (let death = 0; death < DEATH_COUNT; death++) {
      const {first, everywhere} = await this.kill(this.victimIndex(death));
      firstKnownMilliseconds = Math.max(firstKnownMilliseconds, first);
      knownEverywhereMilliseconds = Math.max(
        knownEverywhereMilliseconds,
        everywhere,
      );
    }
    return {firstKnownMilliseconds, knownEverywhereMilliseconds};
  }

  private victimIndex(death: number): number {
    const step = Math.floor(this.members.length / (DEATH_COUNT + 1));
    return (death + 1) * step;
  }

  private async kill(index: number) {
    const liveCount = this.members.length - this.dead.size;
    this.dead.add(index);
    const deadPorts = new Set([...this.dead].map(dead => addressOf(dead).port));
    this.network.deliverOnly(
      (from, to) => !deadPorts.has(from.port) && !deadPorts.has(to.port),
    );
    const first = await this.waitUntil(
      () =>
        this.visibleMachineCounts().some(
          visibleCount => visibleCount < liveCount,
        ),
      DEATH_LIMIT_MILLISECONDS,
    );
    const remaining = await this.waitUntil(
      () => this.allLiveMachinesSee(liveCount - 1),
      DEATH_LIMIT_MILLISECONDS,
    );
    return {first, everywhere: first + remaining};
  }

  private allLiveMachinesSee(count: number): boolean {
    return this.visibleMachineCounts().every(
      visibleCount => visibleCount === count,
    );
  }

  /** Returns how many VMs each live VM knows. */
  private visibleMachineCounts(): readonly number[] {
    return this.members
      .filter((_member, index) => !this.dead.has(index))
      .map(({machines}) => machines.current.length);
  }

  private countFalseDeaths(): void {
    for (const [index, {machines}] of this.members.entries()) {
      let previous = machines.current.length;
      machines.subscribe(now => {
        const liveCount = this.members.length - this.dead.size;
        if (this.dead.has(index)) return;
        if (now.length < Math.min(previous, liveCount)) this.falseDeaths += 1;
        previous = now.length;
      });
    }
  }

  private async waitUntil(
    condition: () => boolean,
    timeoutMilliseconds: number,
  ): Promise<number> {
    const start = this.timer.now();
    while (!condition()) {
      if (this.timer.now() - start > timeoutMilliseconds) return Infinity;
      await this.timer.advanceAsync(STEP_MILLISECONDS);
    }
    return this.timer.now() - start;
  }
}

function createMachine(index: number): VirtualMachine {
  return {
    name: `entry-${String(index).padStart(4, '0')}`,
    incarnation: 1_796_000_000_000 + index,
    dataCentre: `data-centre-${index % 6}`,
    peerAddress: addressOf(index),
    operatorAddress: {...addressOf(index), port: OPERATOR_PORT},
    controlVoter: index < 5,
    state: 'serving',
  };
}

function addressOf(index: number): Address {
  return {host: `10.20.30.${index % 250}`, port: 1_000 + index};
}
