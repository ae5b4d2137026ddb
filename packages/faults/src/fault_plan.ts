import {Observable} from '@apricotlock/flow';

/** The fault of the link from one process to another, one way. */
export interface LinkFault {
  /** Bytes are held back until the link is healed, as if retransmitted. */
  readonly held: boolean;
  /** Added latency of all bytes, in milliseconds. */
  readonly delayMilliseconds: number;
}

/** The state of a link without a fault. */
export const NO_FAULT: LinkFault = {held: false, delayMilliseconds: 0};

/** The faults of a network, by the names of the source and target processes. */
export class FaultPlan {
  /** Incremented at each change; the value has no other meaning. */
  readonly changes = Observable.of(0);
  private faults: ReadonlyMap<string, LinkFault> = new Map();

  private constructor() {}

  /** Creates a plan without faults. */
  static create(): FaultPlan {
    return new FaultPlan();
  }

  /** Whether the plan has no faults. */
  get isEmpty(): boolean {
    return this.faults.size === 0;
  }

  /** Returns the fault of the link from `source` to `target`. */
  faultOf(source: string, target: string): LinkFault {
    return this.faults.get(linkKey(source, target)) ?? NO_FAULT;
  }

  /** Holds back all bytes from each of `sources` to each of `targets`. */
  partitionOneWay(
    sources: readonly string[],
    targets: readonly string[],
  ): void {
    this.setFault(sources, targets, {held: true});
  }

  /** Holds back all bytes between the two sides, in both directions. */
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
    this.setFault(sources, targets, {delayMilliseconds});
  }

  /** Removes all faults; bytes that were held back are delivered. */
  heal(): void {
    this.faults = new Map();
    this.notifyChanged();
  }

  private setFault(
    sources: readonly string[],
    targets: readonly string[],
    fault: Partial<LinkFault>,
  ): void {
    const faults = new Map(this.faults);
    for (const source of sources) {
      for (const target of targets) {
        const current = this.faultOf(source, target);
        faults.set(linkKey(source, target), {...current, ...fault});
      }
    }
    this.faults = faults;
    this.notifyChanged();
  }

  private notifyChanged(): void {
    this.changes.set(this.changes.current + 1);
  }
}

function linkKey(source: string, target: string): string {
  return `${source} > ${target}`;
}
