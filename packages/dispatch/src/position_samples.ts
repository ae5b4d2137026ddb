import {PeerCall} from '@apricotlock/peer';
import {LogPosition} from '@apricotlock/statement';

/** Limits the size of an answer; more groups are sampled one by one. */
const MAXIMUM_SAMPLES = 32;

/** A sample of a group's primary, as one VM passes it on to another. */
export interface RelayedSample {
  readonly database: string;
  readonly term: number;
  readonly position: LogPosition;
  /**
   * Every write that was acknowledged this long before the answer, or earlier,
   * is covered by the position.
   */
  readonly ageMilliseconds: number;
  /** The primary had reached the position this long before the answer. */
  readonly receiptAgeMilliseconds: number;
}

/** Fields in this order, to save bytes: the message is frequent. */
type PackedSample = readonly [
  database: string,
  term: number,
  positionTerm: number,
  positionNumber: number,
  ageMilliseconds: number,
  receiptAgeMilliseconds: number,
];

/**
 * Requests the position samples that a lease holder has: those of the primaries
 * whose leases it holds, and the ones that it received itself from the lease
 * holders of other groups.
 */
export const POSITION_SAMPLES = PeerCall.define<
  Readonly<Record<string, never>>,
  {readonly samples: readonly PackedSample[]}
>(
  'dispatch.positionSamples',
  candidate =>
    typeof candidate === 'object' && candidate !== null ? {} : undefined,
  candidate => {
    const {samples} = (candidate ?? {}) as {readonly samples?: unknown};
    const isValid = Array.isArray(samples) && samples.every(isPackedSample);
    return isValid ? {samples: samples as readonly PackedSample[]} : undefined;
  },
);

/** Packs the newest samples, those of the sender's own leases first. */
export function packSamples(
  samples: readonly RelayedSample[],
): readonly PackedSample[] {
  return [...samples]
    .sort((left, right) => left.ageMilliseconds - right.ageMilliseconds)
    .slice(0, MAXIMUM_SAMPLES)
    .map(({database, term, position, ...ages}) => [
      database,
      term,
      position.term,
      position.number,
      // Rounded up, since a sample must not seem newer than it is.
      Math.ceil(ages.ageMilliseconds),
      Math.floor(ages.receiptAgeMilliseconds),
    ]);
}

/** Restores samples that were packed by {@link packSamples}. */
export function unpackSamples(
  packed: readonly PackedSample[],
): readonly RelayedSample[] {
  return packed.map(([database, term, positionTerm, number, ...ages]) => ({
    database,
    term,
    position: {term: positionTerm, number},
    ageMilliseconds: ages[0],
    receiptAgeMilliseconds: ages[1],
  }));
}

function isPackedSample(candidate: unknown): boolean {
  if (!Array.isArray(candidate)) return false;
  const [database, ...numbers] = candidate as readonly unknown[];
  return (
    typeof database === 'string' &&
    numbers.length === 5 &&
    numbers.every(each => Number.isSafeInteger(each) && (each as number) >= 0)
  );
}
