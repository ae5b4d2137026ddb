import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {SystemTimerService} from '@apricotlock/timer';
import {CostMeasurement} from './cost_measurement.js';
import {createLayout, PROFILES} from './layout.js';
import {SystemUnderTest} from './system_under_test.js';

const DATABASE = 'booking-ledger-1';

const options = await yargs(hideBin(process.argv))
  .option('base-port', {type: 'number', default: 17_000})
  .strict()
  .parse();

const timer = SystemTimerService.create();
const layout = createLayout(
  {...PROFILES.bonanno, databases: [DATABASE]},
  options.basePort,
);
const system = await SystemUnderTest.start(layout, timer);
process.on('SIGINT', () => process.exit(1));
try {
  const entries = system.catalogueEntries();
  await system.putFirstCatalogue(entries);
  await system.waitForDatabases();
  const report = await CostMeasurement.of(system, DATABASE, timer).run();
  // Readable tables go to stderr, one line of JSON goes to stdout.
  const table = new console.Console(process.stderr, process.stderr);
  table.table(report.latency);
  table.table(report.throughput);
  process.stdout.write(`${JSON.stringify(report)}\n`);
} finally {
  await system.stop();
}
process.exit(0);
