import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {SystemTimerService} from '@apricotlock/timer';
import {fitLine} from './linear_fit.js';
import {
  ViewSpreadCost,
  ViewSpreadMeasurement,
} from './view_spread_measurement.js';

const DEFAULT_SIZES = '6,25,50,100,200,400';

const {sizes} = await yargs(hideBin(process.argv))
  .option('sizes', {
    type: 'string',
    default: DEFAULT_SIZES,
    describe: 'numbers of VMs, separated by commas',
  })
  .strict()
  .parse();

const timer = SystemTimerService.create();
const costs: ViewSpreadCost[] = [];
for (const size of sizes.split(',').map(Number)) {
  const cost = await ViewSpreadMeasurement.run(size, timer);
  costs.push(cost);
  process.stdout.write(`${JSON.stringify(cost)}\n`);
}
report('bytes a second of a VM', ({bytesASecond}) => bytesASecond);
report('percent of a core', ({corePercent}) => corePercent);
report('bytes a change of a VM', ({bytesAChange}) => bytesAChange);
report('most bytes a change', ({mostBytesAChange}) => mostBytesAChange);
report('microseconds a change', cost => cost.microsecondsAChange);
process.exit(0);

function report(name: string, valueOf: (cost: ViewSpreadCost) => number): void {
  if (costs.length < 3) return;
  const samples = costs.map(cost => ({
    size: cost.machines,
    value: valueOf(cost),
  }));
  const {intercept, slope, slopeError} = fitLine(samples);
  process.stdout.write(
    `${name}: ${intercept.toFixed(3)} + ${slope.toFixed(5)} for each VM, ` +
      `slope ± ${slopeError.toPrecision(2)}\n`,
  );
}
