import {setImmediate} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {expect} from 'chai';
import {ManualTimerService} from '@apricotlock/timer';
import {WorkQueue} from '../src/index.js';

async function runTransactionStatement(): Promise<WeakRef<object>> {
  const queue = WorkQueue.create<object>({
    slots: 1,
    timer: ManualTimerService.create(),
    takeConnection: () => undefined,
    requestConnections: () => undefined,
  });
  const slot = await queue.acquireTransactionSlot(100);
  expect(slot.isRight()).to.equal(true);
  queue.releaseSlot(10);
  return new WeakRef(queue);
}

describe('a queued statement of a transaction', () => {
  // The reactions of a promise that never settles are kept for as long as it
  // is, so that each statement of a transaction would use memory for good.
  it('is not retained after it has run', async () => {
    setFlagsFromString('--expose-gc');
    const collectGarbage = runInNewContext('gc') as () => void;
    const queue = await runTransactionStatement();
    await setImmediate();
    collectGarbage();
    expect(queue.deref()).to.equal(undefined);
  });
});
