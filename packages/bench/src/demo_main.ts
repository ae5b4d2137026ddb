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
  })
  .option('base-port', {type: 'number', default: 17_000})
  .strict()
  .parse();

const timer = SystemTimerService.create();
const demo = await Demo.start(
  PROFILES[options.profile],
  options.basePort,
  timer,
);
process.on('SIGINT', () => process.exit(1));
const report = await demo.run();
process.stdout.write(`${JSON.stringify(report)}\n`);
process.exit(totalOf(report.violations) === 0 ? 0 : 1);
