/**
 * A process for tests: a program whose start and stop take a while. It writes a
 * line when each of its steps begins.
 */
import {SystemTimerService} from '@apricotlock/timer';
import {runProgram} from '../../src/index.js';
import {FixedSettingsSource} from './fixed_settings.js';

const STEP_MILLISECONDS = 400;
const timer = SystemTimerService.create();

async function runStep(step: string): Promise<void> {
  process.stdout.write(`step ${step}\n`);
  await timer.sleep(STEP_MILLISECONDS);
}

void runProgram({
  name: 'slow',
  source: new FixedSettingsSource(),
  start: async () => {
    await runStep('start');
    process.stdout.write('step run\n');
    return {
      applySettings: () => void process.stdout.write('step reload\n'),
      stop: async () => {
        await runStep('stop');
        process.stdout.write('step end\n');
      },
    };
  },
});
