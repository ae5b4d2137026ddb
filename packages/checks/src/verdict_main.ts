import {readFileSync} from 'node:fs';
import {readKnownRed} from './known_red.js';
import {judge, TestReport} from './test_verdict.js';

const [reportPath = ''] = process.argv.slice(2);
const report = JSON.parse(readFileSync(reportPath, 'utf8')) as TestReport;
const verdict = judge(report, readKnownRed('KNOWN-RED.txt'));
for (const {fullTitle, duration = 0} of report.passes) {
  writeLine(`ok: ${fullTitle} (${duration} ms)`);
}
for (const {fullTitle} of verdict.known) writeLine(`known red: ${fullTitle}`);
for (const {fullTitle, err} of verdict.unexpected) {
  writeLine(`red: ${fullTitle}\n${err?.stack ?? err?.message ?? ''}`);
}
const {passed, failed, skipped} = verdict;
writeLine(`${passed} passed, ${failed} failed, ${skipped} skipped`);
process.exitCode = verdict.good ? 0 : 1;

function writeLine(text: string): void {
  process.stdout.write(`${text}\n`);
}
