import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {SystemTimerService} from '@apricotlock/timer';
import {Demo} from './demo.js';
import {findBasePort} from './free_ports.js';
import {layOut, PROFILES} from './layout.js';
import {totalOf} from './violations.js';

const FIRST_PORT = 17_000;
const PORT_STEP = 400;
const PORT_CHOICES = 10;
const DEADLINE_MILLISECONDS = 150_000;
const EXIT_FAILURE = 1;
const EXIT_NO_PORTS = 2;

const options = await yargs(hideBin(process.argv))
  .option('profile', {
    choices: ['bonanno', 'kahurangi'] as const,
    default: 'bonanno' as const,
    describe: 'whose layout and sizes',
  })
  .option('hold', {
    type: 'boolean',
    default: false,
    describe: 'leave the system up until SIGINT, and say where it is',
  })
  .option('base-port', {
    type: 'number',
    describe: `the first of some 400 ports on loopback [default: ${FIRST_PORT}, or the next that are free]`,
  })
  .strict()
  .parse();

const profile = PROFILES[options.profile];
const interrupted = new Promise<void>(resolve => {
  process.once('SIGINT', () => resolve());
});
const basePort = await findBasePort(
  port => layOut(profile, port),
  options.basePort === undefined ? portChoices() : [options.basePort],
);
if (basePort === undefined) {
  const wanted = options.basePort ?? FIRST_PORT;
  fail(`ports from ${wanted} on are in use: give --base-port`, EXIT_NO_PORTS);
}
try {
  await demonstrate(basePort);
} catch (failure) {
  fail(failure instanceof Error ? failure.message : String(failure));
}

async function demonstrate(port: number): Promise<void> {
  const timer = SystemTimerService.create();
  let stage = () => 'the start of the system';
  // Ending the process ends every process that it started.
  const stopAlarm = timer.once(DEADLINE_MILLISECONDS, () => {
    const seconds = DEADLINE_MILLISECONDS / 1_000;
    fail(`no end after ${seconds} s; waiting for: ${stage()}`);
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
  process.exit(totalOf(report.violations) === 0 ? 0 : EXIT_FAILURE);
}

function portChoices(): readonly number[] {
  return Array.from(
    {length: PORT_CHOICES},
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
