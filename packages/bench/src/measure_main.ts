import {SystemTimerService} from '@apricotlock/timer';
import {createLayout, PROFILES} from './layout.js';
import {measureChangesInForce} from './measure_changes.js';
import {measureReadShare} from './measure_reads.js';
import {MeasurementSection, writeMeasurementPage} from './measurement_page.js';
import {SystemUnderTest} from './system_under_test.js';

const BASE_PORT = 18_000;
const APPLY_DELAYS_MILLISECONDS = [0, 50, 200, 1_000];
const PAGE_PATH = 'docs/MEASUREMENTS.md';

const timer = SystemTimerService.create();
const system = await SystemUnderTest.start(
  createLayout(PROFILES.bonanno, BASE_PORT),
  timer,
);
try {
  const entries = system.catalogueEntries();
  await system.putFirstCatalogue(entries);
  await system.waitForDatabases();
  const sections = [await changesSection(), await readsSection()];
  writeMeasurementPage(PAGE_PATH, 'Measurements', sections);
} finally {
  await system.stop();
}
process.exit(0);

async function changesSection(): Promise<MeasurementSection> {
  return {
    title: 'Catalogue changes',
    text: 'Sixty consecutive changes, each sent to the next VM.',
    figures: [await measureChangesInForce(system, timer)],
  };
}

async function readsSection(): Promise<MeasurementSection> {
  const figures = [];
  let violations = 0;
  for (const delay of APPLY_DELAYS_MILLISECONDS) {
    const report = await measureReadShare(system, timer, delay);
    figures.push(report.figure);
    violations += report.violations;
  }
  return {
    title: 'Reads served by replicas',
    text:
      'For each of three databases, six readers read rows in sessions of two ' +
      'hundred reads, and two writers insert a row, reconnect to another ' +
      'proxy and read it back twice; replicas apply the log with the stated ' +
      'delay. ' +
      `Violations of a guarantee observed: ${violations}.`,
    figures,
  };
}
