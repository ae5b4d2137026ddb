/** One measured value at one size. */
export interface Sample {
  readonly size: number;
  readonly value: number;
}

/** A straight line through samples. */
export interface LinearFit {
  readonly slope: number;
  readonly intercept: number;
  /** Standard error of the slope. */
  readonly slopeError: number;
  readonly samples: readonly Sample[];
}

/** Fits a line by least squares; three samples or more are needed. */
export function fitLine(samples: readonly Sample[]): LinearFit {
  const count = samples.length;
  if (count < 3) throw new Error('a fit needs three samples or more');
  const meanSize = mean(samples.map(({size}) => size));
  const meanValue = mean(samples.map(({value}) => value));
  const spread = sum(samples.map(({size}) => (size - meanSize) ** 2));
  const slope =
    sum(
      samples.map(({size, value}) => (size - meanSize) * (value - meanValue)),
    ) / spread;
  const intercept = meanValue - slope * meanSize;
  const residual = sum(
    samples.map(({size, value}) => (value - intercept - slope * size) ** 2),
  );
  const slopeError = Math.sqrt(residual / (count - 2) / spread);
  return {slope, intercept, slopeError, samples};
}

function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
