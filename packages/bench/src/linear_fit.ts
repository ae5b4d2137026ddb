/** A value measured at a size. */
export interface Sample {
  readonly size: number;
  readonly value: number;
}

/** A straight line fitted to samples. */
export interface LinearFit {
  readonly slope: number;
  readonly intercept: number;
  /** Standard error of the slope. */
  readonly slopeError: number;
  readonly samples: readonly Sample[];
}

/** Fits a line by least squares. Throws with fewer than three samples. */
export function fitLine(samples: readonly Sample[]): LinearFit {
  const count = samples.length;
  if (count < 3) throw new Error('a linear fit needs at least three samples');
  const meanSize = mean(samples.map(({size}) => size));
  const meanValue = mean(samples.map(({value}) => value));
  const sumOfSquares = sum(samples.map(({size}) => (size - meanSize) ** 2));
  const slope =
    sum(
      samples.map(({size, value}) => (size - meanSize) * (value - meanValue)),
    ) / sumOfSquares;
  const intercept = meanValue - slope * meanSize;
  const residual = sum(
    samples.map(({size, value}) => (value - intercept - slope * size) ** 2),
  );
  const slopeError = Math.sqrt(residual / (count - 2) / sumOfSquares);
  return {slope, intercept, slopeError, samples};
}

function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
