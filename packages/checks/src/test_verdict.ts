import {KnownRed} from './known_red.js';

/** The parts of mocha's JSON report that count. */
export interface TestReport {
  readonly passes: readonly TestResult[];
  readonly pending: readonly TestResult[];
  readonly failures: readonly TestResult[];
}

/** One test of a report. */
export interface TestResult {
  readonly fullTitle: string;
  /** In milliseconds. */
  readonly duration?: number;
  readonly err?: {readonly message?: string; readonly stack?: string};
}

/** What a run of the tests means. */
export interface TestVerdict {
  readonly good: boolean;
  readonly passed: number;
  readonly failed: number;
  readonly skipped: number;
  /** Failures that are listed as known. */
  readonly known: readonly TestResult[];
  /** Failures that are not. */
  readonly unexpected: readonly TestResult[];
}

/** Passes over just the failures that KNOWN-RED.txt lists. */
export function judge(
  report: TestReport,
  knownRed: readonly KnownRed[],
): TestVerdict {
  const isKnown = ({fullTitle}: TestResult) =>
    knownRed.some(({test}) => test === fullTitle);
  const unexpected = report.failures.filter(result => !isKnown(result));
  return {
    good: unexpected.length === 0 && report.passes.length > 0,
    passed: report.passes.length,
    failed: report.failures.length,
    skipped: report.pending.length,
    known: report.failures.filter(isKnown),
    unexpected,
  };
}
