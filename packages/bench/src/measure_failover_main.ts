import {SystemTimerService} from '@apricotlock/timer';
import {createLayout, PROFILES} from './layout.js';
import {measureFailoverGap, measureFalseFailovers} from './measure_failover.js';
import {writeMeasurementPage} from './measurement_page.js';
import {SystemUnderTest} from './system_under_test.js';

const BASE_PORT = 23_600;
const RUNS = 12;
const FALSE_FAILOVER_RUNS = 5;
const PAGE_PATH = 'docs/MEASUREMENTS-FAILOVER.md';

const timer = SystemTimerService.create();
const {databases} = PROFILES.bonanno;
const profile = {...PROFILES.bonanno, databases: databases.slice(0, 1)};
const system = await SystemUnderTest.start(
  createLayout(profile, BASE_PORT),
  timer,
);
try {
  const entries = system.catalogueEntries();
  await system.putFirstCatalogue(entries);
  await system.waitForDatabases();
  const measured = [
    await measureFailoverGap(system, timer, 'killed', RUNS),
    await measureFailoverGap(system, timer, 'frozen', RUNS),
    await measureFalseFailovers(system, timer, FALSE_FAILOVER_RUNS),
  ];
  const violations = measured.reduce(
    (total, part) => total + part.violations,
    0,
  );
  writeMeasurementPage(PAGE_PATH, 'Failover', [
    {
      title: 'Failover gap and false failovers',
      text:
        'The longest time without an acknowledged write, with six callers on ' +
        'one database of three members; with so few runs the p99 is the ' +
        `maximum. Violations of a guarantee observed: ${violations}.`,
      figures: measured.map(part => part.figure),
    },
  ]);
} finally {
  await system.stop();
}
process.exit(0);
