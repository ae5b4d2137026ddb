import {KnownFailure} from './known_failures.js';

/** The parts of mocha's JSON report that the verdict depends on. */
export interface TestReport {
  readonly passes: readonly TestResult[];
  readonly pending: readonly TestResult[];
  readonly failures: readonly TestResult[];
}

/** The result of one test in a report. */
export interface TestResult {
  readonly fullTitle: string;
  /** Duration in milliseconds. */
  readonly duration?: number;
  readonly err?: {readonly message?: string; readonly stack?: string};
}

/** The verdict on a test run. */
export interface TestVerdict {
  /** Whether every failure is listed and at least one test passed. */
  readonly isAcceptable: boolean;
  readonly passed: number;
  readonly failed: number;
  readonly skipped: number;
  /** Failures that KNOWN-RED.txt lists. */
  readonly known: readonly TestResult[];
  /** Failures that KNOWN-RED.txt does not list. */
  readonly unexpected: readonly TestResult[];
}

/** Judges a test run; only failures that KNOWN-RED.txt lists are tolerated. */
export function judgeReport(
  report: TestReport,
  knownFailures: readonly KnownFailure[],
): TestVerdict {
  const isKnown = ({fullTitle}: TestResult) =>
    knownFailures.some(({test}) => test === fullTitle);
  const unexpected = report.failures.filter(result => !isKnown(result));
  return {
    isAcceptable: unexpected.length === 0 && report.passes.length > 0,
    passed: report.passes.length,
    failed: report.failures.length,
    skipped: report.pending.length,
    known: report.failures.filter(isKnown),
    unexpected,
  };
}
