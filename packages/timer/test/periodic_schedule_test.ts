import {expect} from 'chai';
import {SystemTimerService} from '@apricotlock/timer';

/** Enough for several periods. */
const OBSERVATION_MILLISECONDS = 480;
/** Actions of this period run in every slot of the schedule. */
const SLOT_MILLISECONDS = 50;
const PERIOD_MILLISECONDS = 100;

describe('SystemTimerService.every', () => {
  // Guards against one wake-up of the process for each periodic action.
  it('runs actions that were added at different times together', async () => {
    const timer = SystemTimerService.create();
    const runs: Array<readonly [name: string, at: number]> = [];
    const record = (name: string) => () => runs.push([name, timer.now()]);
    const stopFirst = timer.every(SLOT_MILLISECONDS, record('first'));
    await timer.sleep(20);
    const stopSecond = timer.every(SLOT_MILLISECONDS, record('second'));
    await timer.sleep(OBSERVATION_MILLISECONDS);
    stopFirst();
    stopSecond();
    const timesOf = (name: string) =>
      runs.filter(([each]) => each === name).map(([, at]) => at);
    const shared = timesOf('second').filter(at =>
      timesOf('first').some(other => Math.abs(other - at) < 10),
    );
    expect(shared.length).to.be.at.least(3);
    expect(shared.length).to.equal(timesOf('second').length);
  });

  // Guards against an action that runs early, or at another rate.
  it('waits at least one period before the first call', async () => {
    const timer = SystemTimerService.create();
    const startedAt = timer.now();
    const calledAt = await new Promise<number>(resolve => {
      const stop = timer.every(PERIOD_MILLISECONDS, () => {
        stop();
        resolve(timer.now());
      });
    });
    expect(calledAt - startedAt).to.be.at.least(PERIOD_MILLISECONDS - 10);
  });

  // Guards against calls after the end of what subscribed to the time.
  it('does not run an action that another one of its slot has stopped', async () => {
    const timer = SystemTimerService.create();
    let count = 0;
    let stopSecond: () => void = () => undefined;
    const stopFirst = timer.every(PERIOD_MILLISECONDS, () => stopSecond());
    stopSecond = timer.every(PERIOD_MILLISECONDS, () => {
      count += 1;
    });
    await timer.sleep(OBSERVATION_MILLISECONDS);
    stopFirst();
    expect(count).to.equal(0);
  });
});
