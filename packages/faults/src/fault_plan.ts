import {Observable} from '@apricotlock/flow';

/** What happens to bytes that go from one process to another. */
export interface LaneFault {
  /** Bytes are kept back until the lane is healed, as if retransmitted. */
  readonly held: boolean;
  /** Bytes come this much later, in milliseconds. */
  readonly delayMilliseconds: number;
}

/** What happens to bytes where there is no fault. */
export const SOUND: LaneFault = {held: false, delayMilliseconds: 0};

/** The faults of a network, by the names of the processes at its ends. */
export class FaultPlan {
  /** Told of each change; its value has no other meaning. */
  readonly changes = Observable.of(0);
  private faults: ReadonlyMap<string, LaneFault> = new Map();

  private constructor() {}

  /** A network without a fault. */
  static create(): FaultPlan {
    return new FaultPlan();
  }

  /** Whether there is no fault at all. */
  get sound(): boolean {
    return this.faults.size === 0;
  }

  /** What happens to bytes from `source` to `target`. */
  faultOf(source: string, target: string): LaneFault {
    return this.faults.get(laneOf(source, target)) ?? SOUND;
  }

  /** Keeps back all bytes from each of `sources` to each of `targets`. */
  partitionOneWay(
    sources: readonly string[],
    targets: readonly string[],
  ): void {
    this.change(sources, targets, {held: true});
  }

  /** Keeps back all bytes between the two sides, both ways. */
  partition(oneSide: readonly string[], otherSide: readonly string[]): void {
    this.partitionOneWay(oneSide, otherSide);
    this.partitionOneWay(otherSide, oneSide);
  }

  /** Delays all bytes from each of `sources` to each of `targets`. */
  delay(
    sources: readonly string[],
    targets: readonly string[],
    delayMilliseconds: number,
  ): void {
    this.change(sources, targets, {delayMilliseconds});
  }

  /** Ends every fault; what was kept back is delivered. */
  heal(): void {
    this.faults = new Map();
    this.told();
  }

  private change(
    sources: readonly string[],
    targets: readonly string[],
    fault: Partial<LaneFault>,
  ): void {
    const faults = new Map(this.faults);
    for (const source of sources) {
      for (const target of targets) {
        const known = this.faultOf(source, target);
        faults.set(laneOf(source, target), {...known, ...fault});
      }
    }
    this.faults = faults;
    this.told();
  }

  private told(): void {
    this.changes.set(this.changes.current + 1);
  }
}

function laneOf(source: string, target: string): string {
  return `${source} > ${target}`;
}
