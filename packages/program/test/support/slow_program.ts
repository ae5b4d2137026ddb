/**
 * A process for tests: a program whose start and stop take a while. It writes a
 * line when each of its steps begins.
 */
import {Either, Right} from 'purify-ts';
import {SystemTimerService} from '@apricotlock/timer';
import {
  ProgramSettings,
  runProgram,
  SettingsError,
  SettingsSource,
} from '../../src/index.js';

const STEP_MILLISECONDS = 400;
const ADDRESS = {host: '127.0.0.1', port: 1};
const timer = SystemTimerService.create();

/** Settings that never change. */
class FixedSettings extends SettingsSource {
  override readonly description = 'a test';

  override load(): Either<SettingsError, ProgramSettings> {
    return Right({
      node: 'vm-1',
      dataCentre: 'here',
      peerAddress: ADDRESS,
      metricsAddress: ADDRESS,
      callerAddress: undefined,
      readyAddress: undefined,
      controlAddress: undefined,
      seeds: [ADDRESS],
      firstStart: false,
      dataFolder: undefined,
      promotionAddress: undefined,
      drainMilliseconds: undefined,
      faultTolerance: {disks: 1, dataCentres: 1},
      graceMilliseconds: 6_000,
    });
  }

  override modifiedAt(): number {
    return 1;
  }
}

async function runStep(step: string): Promise<void> {
  process.stdout.write(`step ${step}\n`);
  await timer.sleep(STEP_MILLISECONDS);
}

void runProgram({
  name: 'slow',
  source: new FixedSettings(),
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
