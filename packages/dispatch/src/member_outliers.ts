import {TimerService} from '@apricotlock/timer';
import {DatabaseGroup} from '@apricotlock/topology';

/** An observation counts for half as much after each period of this length. */
const HALF_LIFE_MILLISECONDS = 20_000;
/** Two failures may be a coincidence of one restart; a share of them is not. */
const MINIMUM_FAILURES = 1.9;
const MINIMUM_FAILURE_SHARE = 0.05;
/** How much more often than the other members an outlier fails. */
const FAILURE_RATIO = 3;
/** Fewer observations of other members are no basis for a comparison. */
const MINIMUM_COMPARED = 2;
const MINIMUM_LATENCIES = 4;
/** How much slower than the fastest other member an outlier is. */
const LATENCY_RATIO = 4;
/** A member that is slower by less than this is never ejected. */
const MINIMUM_EXCESS_MILLISECONDS = 80;
const LATENCY_WEIGHT = 0.2;
/**
 * A single latency counts as no more than this. A VM that waits for its
 * processor measures long latencies at any member, and five in a row make an
 * outlier.
 */
const LARGEST_RATIO = 6;
/**
 * Small, so that a slow member with most of the reads sets no new usual
 * latency.
 */
const SLOWER_WEIGHT = 0.02;
const FIRST_EJECTION_MILLISECONDS = 1_000;
const LONGEST_EJECTION_MILLISECONDS = 30_000;
/** This long after an ejection, the next one is short again. */
const EJECTION_RESET_MILLISECONDS = 30_000;
/** Length of the slow start, in which the share of reads grows to all. */
const PROBATION_MILLISECONDS = 5_000;
const FIRST_PROBATION_SHARE = 0.1;

interface MemberRecord {
  failures: number;
  total: number;
  countedAt: number;
  /** The mean latency relative to the usual one of the same kind of work. */
  latencyRatio: number;
  latencies: number;
  ejections: number;
  ejectedUntil: number;
  /** Reads are admitted on probation as their shares add up to whole ones. */
  credit: number;
}

/** A member that was ejected from reads, and for how long. */
export interface Ejection {
  readonly milliseconds: number;
  readonly failures: number;
  readonly latencyRatio: number;
}

/**
 * Finds members that fail or are slow by comparison with the other members of
 * their group, from the answers to reads. Health checks do not show a member
 * that fails or delays only a share of its requests.
 *
 * Such a member is ejected from reads for a time that doubles with each
 * ejection, and returns on probation: its share of reads grows slowly, and a
 * failure ejects it again. At most half of the members of a group are ejected.
 * An ejected member is tried after all others rather than omitted.
 */
export class MemberOutliers {
  private readonly records = new Map<string, MemberRecord>();
  /** The usual latency of each kind of work at the faster members. */
  private readonly kindLatencies = new Map<string, number>();

  private constructor(private readonly timer: TimerService) {}

  /** Creates an instance that knows of no outliers. */
  static create(timer: TimerService): MemberOutliers {
    return new MemberOutliers(timer);
  }

  /**
   * Records a read that a member answered. The latency is omitted if it has a
   * wait in the member's queue. Returns the ejection if it makes the member an
   * outlier.
   */
  recordSuccess(
    group: DatabaseGroup,
    member: string,
    kind: string,
    latencyMilliseconds: number | undefined,
  ): Ejection | undefined {
    const record = this.count(member, 0);
    if (latencyMilliseconds === undefined) return undefined;
    const known = this.kindLatencies.get(kind) ?? latencyMilliseconds;
    const difference = latencyMilliseconds - known;
    const kindWeight = difference < 0 ? LATENCY_WEIGHT : SLOWER_WEIGHT;
    const mean = known + difference * kindWeight;
    this.kindLatencies.set(kind, mean);
    const ratio = Math.min(
      LARGEST_RATIO,
      latencyMilliseconds / Math.max(1, mean),
    );
    record.latencies += 1;
    record.latencyRatio += (ratio - record.latencyRatio) * LATENCY_WEIGHT;
    return this.isSlow(group, member, record, mean)
      ? this.eject(group, record)
      : undefined;
  }

  /**
   * Records a read that a member failed or left without an answer. Returns the
   * ejection if it makes the member an outlier.
   */
  recordFailure(group: DatabaseGroup, member: string): Ejection | undefined {
    const record = this.count(member, 1);
    return this.failsOften(group, member, record)
      ? this.eject(group, record)
      : undefined;
  }

  /**
   * Returns whether the next read should use the member only as a last resort.
   * On probation, each call counts as one read.
   */
  isEjected(member: string): boolean {
    const record = this.records.get(member);
    if (record === undefined || record.ejections === 0) return false;
    const sinceReturn = this.timer.now() - record.ejectedUntil;
    if (sinceReturn < 0) return true;
    if (sinceReturn >= PROBATION_MILLISECONDS) return false;
    const progress = sinceReturn / PROBATION_MILLISECONDS;
    record.credit +=
      FIRST_PROBATION_SHARE + (1 - FIRST_PROBATION_SHARE) * progress;
    if (record.credit < 1) return true;
    record.credit -= 1;
    return false;
  }

  /** Forgets all members but the given ones. */
  retain(members: ReadonlySet<string>): void {
    for (const member of this.records.keys()) {
      if (!members.has(member)) this.records.delete(member);
    }
  }

  private count(member: string, failures: number): MemberRecord {
    const now = this.timer.now();
    let record = this.records.get(member);
    if (record === undefined) {
      record = {
        failures: 0,
        total: 0,
        countedAt: now,
        latencyRatio: 1,
        latencies: 0,
        ejections: 0,
        ejectedUntil: -Infinity,
        credit: 0,
      };
      this.records.set(member, record);
    }
    const weight = this.decay(record);
    record.failures = record.failures * weight + failures;
    record.total = record.total * weight + 1;
    record.countedAt = now;
    return record;
  }

  private decay({countedAt}: MemberRecord): number {
    return 0.5 ** ((this.timer.now() - countedAt) / HALF_LIFE_MILLISECONDS);
  }

  private failsOften(
    {members}: DatabaseGroup,
    member: string,
    record: MemberRecord,
  ): boolean {
    let failures = 0;
    let total = 0;
    for (const {name} of members) {
      const other = this.records.get(name);
      if (name === member || other === undefined) continue;
      const weight = this.decay(other);
      failures += other.failures * weight;
      total += other.total * weight;
    }
    if (total < MINIMUM_COMPARED) return false;
    const share = record.failures / record.total;
    if (share < (FAILURE_RATIO * failures) / total) return false;
    const onProbation =
      record.ejections > 0 &&
      this.timer.now() < record.ejectedUntil + PROBATION_MILLISECONDS;
    return (
      onProbation ||
      (record.failures >= MINIMUM_FAILURES && share >= MINIMUM_FAILURE_SHARE)
    );
  }

  private isSlow(
    {members}: DatabaseGroup,
    member: string,
    record: MemberRecord,
    kindMilliseconds: number,
  ): boolean {
    if (record.latencies < MINIMUM_LATENCIES) return false;
    let fastest = Infinity;
    for (const {name} of members) {
      const other = this.records.get(name);
      if (name === member || other === undefined) continue;
      if (other.latencies < MINIMUM_COMPARED) continue;
      fastest = Math.min(fastest, other.latencyRatio);
    }
    const excess = (record.latencyRatio - fastest) * kindMilliseconds;
    return (
      record.latencyRatio >= LATENCY_RATIO * fastest &&
      excess >= MINIMUM_EXCESS_MILLISECONDS
    );
  }

  private eject(
    {members}: DatabaseGroup,
    record: MemberRecord,
  ): Ejection | undefined {
    const now = this.timer.now();
    let active = 0;
    let ejected = 0;
    for (const {name, state} of members) {
      if (state !== 'active') continue;
      active += 1;
      if ((this.records.get(name)?.ejectedUntil ?? 0) > now) ejected += 1;
    }
    if (record.ejectedUntil > now || ejected + 1 > active / 2) return undefined;
    const {failures, latencyRatio} = record;
    if (now - record.ejectedUntil > EJECTION_RESET_MILLISECONDS) {
      record.ejections = 0;
    }
    const milliseconds = Math.min(
      LONGEST_EJECTION_MILLISECONDS,
      FIRST_EJECTION_MILLISECONDS * 2 ** record.ejections,
    );
    record.ejections += 1;
    record.ejectedUntil = now + milliseconds;
    record.failures = 0;
    record.total = 0;
    record.latencies = 0;
    record.latencyRatio = 1;
    record.credit = 0;
    return {milliseconds, failures, latencyRatio};
  }
}
