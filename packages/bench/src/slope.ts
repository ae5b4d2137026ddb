import {LinearFit} from './linear_fit.js';

/** A measured cost of each additional session, statement or database. */
export interface Slope {
  readonly name: SlopeName;
  /** Unit of the slope, such as `bytes a session`. */
  readonly unit: string;
  readonly fit: LinearFit;
  /** How the slope was measured, in one sentence. */
  readonly method: string;
}

/** Names of the costs that are projected to the target size. */
export type SlopeName =
  | 'memory of an idle session'
  | 'processor time of a statement, owner on the same VM'
  | 'processor time of a statement on the caller’s VM, owner elsewhere'
  | 'processor time of a statement on the owner’s VM'
  | 'processor time of a write on all entry VMs'
  | 'processor time a second of watching a database'
  | 'bytes a second of watching a database'
  | 'bytes of a view for each database'
  | 'memory of a view for each database'
  | 'processor time to take a view for each database';

/** Returns the slopes as a Markdown table. */
export function slopeTable(slopes: readonly Slope[]): string {
  const lines = [
    '| slope | unit | value | error | at sizes | how |',
    '|---|---|---|---|---|---|',
    ...slopes.map(slopeLine),
  ];
  return lines.join('\n');
}

function slopeLine({name, unit, fit, method}: Slope): string {
  const sizes = fit.samples.map(({size}) => Math.round(size)).join(', ');
  const value = fit.slope.toPrecision(3);
  const error = `± ${fit.slopeError.toPrecision(2)}`;
  return `| ${name} | ${unit} | ${value} | ${error} | ${sizes} | ${method} |`;
}
