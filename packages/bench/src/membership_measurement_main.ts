import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {fitLine, LinearFit} from './linear_fit.js';
import {
  MembershipCost,
  MembershipMeasurement,
} from './membership_measurement.js';

const DEFAULT_SIZES = '50,100,200,400,800,1800';
const PREDICTED_SIZE = 1_800;

const {sizes} = await yargs(hideBin(process.argv))
  .option('sizes', {
    type: 'string',
    default: DEFAULT_SIZES,
    describe: 'numbers of VMs, separated by commas',
  })
  .strict()
  .parse();

const costs: MembershipCost[] = [];
for (const size of sizes.split(',').map(Number)) {
  const cost = await MembershipMeasurement.run(size);
  costs.push(cost);
  process.stdout.write(`${JSON.stringify(cost)}\n`);
}
report('bytes a second', ({bytesASecond}) => bytesASecond);
report('percent of a core', ({corePercent}) => corePercent);
report('known everywhere, ms', cost => cost.knownEverywhereMilliseconds);

function report(name: string, valueOf: (cost: MembershipCost) => number): void {
  if (costs.length < 3) return;
  const points = costs.map(cost => ({
    size: cost.machines,
    value: valueOf(cost),
  }));
  process.stdout.write(`${name}: ${describeFit(fitLine(points))}\n`);
}

function describeFit({intercept, slope, slopeError}: LinearFit): string {
  const predicted = intercept + slope * PREDICTED_SIZE;
  return (
    `${intercept.toFixed(3)} + ${slope.toFixed(6)} for each VM, ` +
    `slope ± ${slopeError.toPrecision(2)}; ${predicted.toFixed(2)} with ${PREDICTED_SIZE}`
  );
}
