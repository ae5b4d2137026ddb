/** Number of observed violations of each guarantee. */
export interface Violations {
  /** Reads that did not return a row which their session had written. */
  readonly readYourWrites: number;
  /** Acknowledged writes without a row in the database. */
  readonly acknowledgedLost: number;
  /** Writes with more rows in the database than they insert. */
  readonly runTwice: number;
  /** Writes that were reported as not run but have a row in the database. */
  readonly falseNotRun: number;
  /** Transactions of which only some rows are in the database. */
  readonly transactionsMixed: number;
  /** Reads that returned another row than the one requested. */
  readonly wrongAnswer: number;
  /** Statements that a member ran after it was drained. */
  readonly workAfterDrain: number;
  /** Shutdowns of an entry VM that interrupted a request. */
  readonly requestsCutByShutdown: number;
  /** Reports of an older catalogue version than the same VM had reported. */
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
