/** Number of observed violations of each guarantee of the brief. */
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

/** No violations. */
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

/** Returns the total number of violations. */
export function countViolations(violations: Violations): number {
  return Object.values(violations).reduce(
    (total: number, count: number) => total + count,
    0,
  );
}
