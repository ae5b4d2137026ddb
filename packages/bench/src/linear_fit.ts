/** One measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line through measured points. */
export interface LinearFit {
  readonly intercept: number;
  readonly slope: number;
  /** The root of the mean squared distance of the points from the line. */
  readonly error: number;
}

/** Fits a line by least squares; needs two points with different `x`. */
export function fitLine(points: readonly Point[]): LinearFit {
  const meanX = mean(points.map(({x}) => x));
  const meanY = mean(points.map(({y}) => y));
  const spread = mean(points.map(({x}) => (x - meanX) ** 2));
  const common = mean(points.map(({x, y}) => (x - meanX) * (y - meanY)));
  const slope = common / spread;
  const intercept = meanY - slope * meanX;
  const squares = points.map(({x, y}) => (y - intercept - slope * x) ** 2);
  return {intercept, slope, error: Math.sqrt(mean(squares))};
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
