import {readFileSync} from 'node:fs';
import {readKnownFailures} from './known_failures.js';
import {judgeReport, TestReport} from './test_verdict.js';

const [reportPath = ''] = process.argv.slice(2);
const report = JSON.parse(readFileSync(reportPath, 'utf8')) as TestReport;
const verdict = judgeReport(report, readKnownFailures('KNOWN-RED.txt'));
for (const {fullTitle, duration = 0} of report.passes) {
  writeLine(`ok: ${fullTitle} (${duration} ms)`);
}
for (const {fullTitle} of verdict.known) writeLine(`known red: ${fullTitle}`);
for (const {fullTitle, err} of verdict.unexpected) {
  writeLine(`red: ${fullTitle}\n${err?.stack ?? err?.message ?? ''}`);
}
const {passed, failed, skipped} = verdict;
writeLine(`${passed} passed, ${failed} failed, ${skipped} skipped`);
process.exitCode = verdict.isAcceptable ? 0 : 1;

function writeLine(text: string): void {
  process.stdout.write(`${text}\n`);
}
