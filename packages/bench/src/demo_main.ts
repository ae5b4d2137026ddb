import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {SystemTimerService} from '@apricotlock/timer';
import {Demo} from './demo.js';
import {PROFILES} from './layout.js';
import {totalOf} from './violations.js';

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
    default: 17_000,
    describe: 'the first of some 400 ports on loopback',
  })
  .strict()
  .parse();

const interrupted = new Promise<void>(resolve => {
  process.once('SIGINT', () => resolve());
});
const demo = await Demo.start(
  PROFILES[options.profile],
  options.basePort,
  SystemTimerService.create(),
);
if (options.hold) {
  await demo.hold(system => writeLine(system), interrupted);
  process.exit(0);
}
// Ending the process ends every process that it started.
void interrupted.then(() => process.exit(1));
const report = await demo.run();
writeLine(report);
process.exit(totalOf(report.violations) === 0 ? 0 : 1);

function writeLine(value: object): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}
