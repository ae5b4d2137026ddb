import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {SystemTimerService} from '@apricotlock/timer';
import {Demo} from './demo.js';
import {findBasePort} from './free_ports.js';
import {createLayout, PROFILES} from './layout.js';
import {countViolations} from './violations.js';

const FIRST_PORT = 17_000;
const PORT_STEP = 400;
const CANDIDATE_PORT_COUNT = 10;
const DEADLINE_MILLISECONDS = 150_000;
const EXIT_FAILURE = 1;
const EXIT_NO_PORTS = 2;

const options = await yargs(hideBin(process.argv))
  .option('profile', {
    choices: ['bonanno', 'kahurangi'] as const,
    default: 'bonanno' as const,
    describe: 'customer whose layout and sizes are used',
  })
  .option('hold', {
    type: 'boolean',
    default: false,
    describe: 'keep the system running until SIGINT and print its addresses',
  })
  .option('base-port', {
    type: 'number',
    describe: `first of about 400 ports on loopback [default: ${FIRST_PORT}, or the next free range]`,
  })
  .strict()
  .parse();

const profile = PROFILES[options.profile];
const interrupted = new Promise<void>(resolve => {
  process.once('SIGINT', () => resolve());
});
const basePort = await findBasePort(
  port => createLayout(profile, port),
  options.basePort === undefined ? candidatePorts() : [options.basePort],
);
if (basePort === undefined) {
  const firstPort = options.basePort ?? FIRST_PORT;
  fail(
    `some ports from ${firstPort} upwards are in use; set --base-port`,
    EXIT_NO_PORTS,
  );
}
try {
  await demonstrate(basePort);
} catch (failure) {
  fail(failure instanceof Error ? failure.message : String(failure));
}

async function demonstrate(port: number): Promise<void> {
  const timer = SystemTimerService.create();
  let stage = () => 'the system to start';
  // Exiting kills every process that the demo started.
  const stopAlarm = timer.once(DEADLINE_MILLISECONDS, () => {
    const seconds = DEADLINE_MILLISECONDS / 1_000;
    fail(`not finished after ${seconds} s; waiting for ${stage()}`);
  });
  const demo = await Demo.start(profile, port, timer);
  stage = () => demo.stage;
  if (options.hold) {
    stopAlarm();
    await demo.hold(system => writeLine(system), interrupted);
    process.exit(0);
  }
  void interrupted.then(() => process.exit(EXIT_FAILURE));
  const report = await demo.run();
  writeLine(report);
  process.exit(countViolations(report.violations) === 0 ? 0 : EXIT_FAILURE);
}

function candidatePorts(): readonly number[] {
  return Array.from(
    {length: CANDIDATE_PORT_COUNT},
    (_, index) => FIRST_PORT + index * PORT_STEP,
  );
}

function fail(reason: string, exitCode = EXIT_FAILURE): never {
  process.stderr.write(`demo: ${reason}\n`);
  process.exit(exitCode);
}

function writeLine(value: object): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}
