/** How often each promise of the brief was seen broken. */
export interface Violations {
  readonly readYourWrites: number;
  readonly acknowledgedLost: number;
  readonly runTwice: number;
  readonly falseNotRun: number;
  readonly transactionsMixed: number;
  readonly wrongAnswer: number;
  readonly workAfterDrain: number;
  readonly requestsCutByShutdown: number;
  readonly catalogueReverted: number;
}

/** Nothing seen broken. */
export const NO_VIOLATIONS: Violations = {
  readYourWrites: 0,
  acknowledgedLost: 0,
  runTwice: 0,
  falseNotRun: 0,
  transactionsMixed: 0,
  wrongAnswer: 0,
  workAfterDrain: 0,
  requestsCutByShutdown: 0,
  catalogueReverted: 0,
};

/** All violations together. */
export function totalOf(violations: Violations): number {
  return Object.values(violations).reduce(
    (total: number, count: number) => total + count,
    0,
  );
}
