import {build, Histogram} from 'hdr-histogram-js';

const SCALE = 1_000;
const HIGHEST_VALUE = 1e12;
const SIGNIFICANT_DIGITS = 3;

/** Statistics of one measure over repeated runs. */
export interface Figure {
  readonly measure: string;
  readonly unit: string;
  /** The target, as the design states it. */
  readonly target: string;
  readonly runs: number;
  readonly minimum: number;
  readonly median: number;
  readonly p99: number;
  readonly maximum: number;
  readonly met: boolean;
}

/** Collects the values of one measure, rounded to a thousandth of its unit. */
export class FigureRecorder {
  private readonly histogram: Histogram = build({
    useWebAssembly: false,
    highestTrackableValue: HIGHEST_VALUE,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });

  private constructor(
    private readonly measure: string,
    private readonly unit: string,
    private readonly target: string,
  ) {}

  /** Creates a recorder without values. */
  static create(measure: string, unit: string, target: string): FigureRecorder {
    return new FigureRecorder(measure, unit, target);
  }

  /** Adds the value of one run. */
  record(value: number): void {
    this.histogram.recordValue(Math.max(0, Math.round(value * SCALE)));
  }

  /** Returns the figure. `isMet` decides whether it meets its target. */
  figure(isMet: (figure: Omit<Figure, 'met'>) => boolean): Figure {
    const {histogram, measure, unit, target} = this;
    const figure = {
      measure,
      unit,
      target,
      runs: histogram.totalCount,
      minimum: histogram.getValueAtPercentile(0) / SCALE,
      median: histogram.getValueAtPercentile(50) / SCALE,
      p99: histogram.getValueAtPercentile(99) / SCALE,
      maximum: histogram.maxValue / SCALE,
    };
    return {...figure, met: isMet(figure)};
  }
}

/** Returns the figures as a Markdown table. */
export function figureTable(figures: readonly Figure[]): string {
  const lines = [
    '| measure | target | runs | min | median | p99 | max | met |',
    '|---|---|---|---|---|---|---|---|',
    ...figures.map(figureLine),
  ];
  return lines.join('\n');
}

function figureLine(figure: Figure): string {
  const {measure, target, runs, unit, met} = figure;
  const values = [figure.minimum, figure.median, figure.p99, figure.maximum];
  const shown = values.map(value => `${formatValue(value)} ${unit}`);
  const cells = [measure, target, runs, ...shown, met ? 'yes' : 'no'];
  return `| ${cells.join(' | ')} |`;
}

function formatValue(value: number): string {
  return value >= 100 ? value.toFixed(0) : value.toPrecision(3);
}
