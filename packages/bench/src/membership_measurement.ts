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
const DEATHS = 5;
const DEATH_LIMIT_MILLISECONDS = 30_000;
const STEP_MILLISECONDS = 20;
const HEADER_BYTES_A_DATAGRAM = 28;
const MICROSECONDS_A_SECOND = 1_000_000;
const SEEDS = 3;
const PORTS_A_HOST = 50_000;

/** What membership costs and how fast it is, with a number of VMs. */
export interface MembershipCost {
  readonly machines: number;
  /** Until everyone knows everyone after all started at once, in seconds. */
  readonly joinSeconds: number;
  /** Sent by one VM with nothing happening, IP and UDP headers included. */
  readonly bytesASecond: number;
  /** Processor time of one VM, in percent of a core. */
  readonly corePercent: number;
  /** The worst time until one VM knew of a death, in milliseconds. */
  readonly firstKnownMilliseconds: number;
  /** The worst time until all VMs knew of a death, in milliseconds. */
  readonly knownEverywhereMilliseconds: number;
  /** Live VMs that were thought dead by any other, for however long. */
  readonly falseDeaths: number;
}

/** In-process VMs on a clock moved by hand, over datagrams in memory. */
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
        self: machineAt(index),
        seeds: Array.from({length: SEEDS}, (_seed, place) => addressOf(place)),
        transport: this.network.createTransport(addressOf(index)),
        keys,
        timer: this.timer,
        logger: Logger.silent(),
      }),
    );
  }

  /** Measures with `count` VMs. */
  static async run(count: number): Promise<MembershipCost> {
    const measurement = new MembershipMeasurement(count);
    const joined = await measurement.until(
      () => measurement.livingAgreeOn(count),
      JOIN_LIMIT_MILLISECONDS,
    );
    await measurement.timer.advanceAsync(SETTLE_MILLISECONDS);
    measurement.countFalseDeaths();
    const steady = await measurement.steadyCost();
    const deaths = await measurement.deaths();
    return {
      machines: count,
      joinSeconds: joined / 1_000,
      ...steady,
      ...deaths,
      falseDeaths: measurement.falseDeaths,
    };
  }

  private async steadyCost() {
    const {sentBytes, sentDatagrams} = this.network;
    const before = process.cpuUsage();
    await this.timer.advanceAsync(STEADY_MILLISECONDS);
    const {user, system} = process.cpuUsage(before);
    const bytes = this.network.sentBytes - sentBytes;
    const datagrams = this.network.sentDatagrams - sentDatagrams;
    const machineSeconds = (this.members.length * STEADY_MILLISECONDS) / 1_000;
    const onTheWire = bytes + datagrams * HEADER_BYTES_A_DATAGRAM;
    const coreSeconds = (user + system) / MICROSECONDS_A_SECOND;
    return {
      bytesASecond: onTheWire / machineSeconds,
      corePercent: (coreSeconds / machineSeconds) * 100,
    };
  }

  private async deaths() {
    let firstKnownMilliseconds = 0;
    let knownEverywhereMilliseconds = 0;
    for (let death = 0; death < DEATHS; death++) {
      const {first, everywhere} = await this.kill(this.victim(death));
      firstKnownMilliseconds = Math.max(firstKnownMilliseconds, first);
      knownEverywhereMilliseconds = Math.max(
        knownEverywhereMilliseconds,
        everywhere,
      );
    }
    return {firstKnownMilliseconds, knownEverywhereMilliseconds};
  }

  private victim(death: number): number {
    const step = Math.floor(this.members.length / (DEATHS + 1));
    return (death + 1) * step;
  }

  private async kill(index: number) {
    const living = this.members.length - this.dead.size;
    this.dead.add(index);
    const deadPorts = new Set([...this.dead].map(dead => addressOf(dead).port));
    this.network.deliverOnly(
      (from, to) => !deadPorts.has(from.port) && !deadPorts.has(to.port),
    );
    const first = await this.until(
      () => this.living().some(sees => sees < living),
      DEATH_LIMIT_MILLISECONDS,
    );
    const rest = await this.until(
      () => this.livingAgreeOn(living - 1),
      DEATH_LIMIT_MILLISECONDS,
    );
    return {first, everywhere: first + rest};
  }

  private livingAgreeOn(count: number): boolean {
    return this.living().every(sees => sees === count);
  }

  /** How many VMs each living VM knows. */
  private living(): readonly number[] {
    return this.members
      .filter((_member, index) => !this.dead.has(index))
      .map(({machines}) => machines.current.length);
  }

  private countFalseDeaths(): void {
    for (const [index, {machines}] of this.members.entries()) {
      let before = machines.current.length;
      machines.subscribe(now => {
        const trulyLiving = this.members.length - this.dead.size;
        if (this.dead.has(index)) return;
        if (now.length < Math.min(before, trulyLiving)) this.falseDeaths += 1;
        before = now.length;
      });
    }
  }

  private async until(test: () => boolean, limit: number): Promise<number> {
    const start = this.timer.now();
    while (!test()) {
      if (this.timer.now() - start > limit) return Infinity;
      await this.timer.advanceAsync(STEP_MILLISECONDS);
    }
    return this.timer.now() - start;
  }
}

function machineAt(index: number): VirtualMachine {
  return {
    name: `entry-${String(index).padStart(4, '0')}`,
    incarnation: 1_796_000_000_000 + index,
    dataCentre: `data-centre-${index % 6}`,
    peerAddress: addressOf(index),
    operatorAddress: {...addressOf(index), port: PORTS_A_HOST},
    controlVoter: index < 5,
    state: 'serving',
  };
}

function addressOf(index: number): Address {
  return {host: `10.20.30.${index % 250}`, port: 1_000 + index};
}
