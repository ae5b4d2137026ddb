import {expect} from 'chai';
import {ManualTimerService} from '@apricotlock/timer';
import {StatementWindow} from '../src/statement_window.js';

describe('StatementWindow', () => {
  let timer: ManualTimerService;
  let window: StatementWindow;

  /** Records as many statements as a moving average needs to settle. */
  function record(roundTrip: number, statement: number): void {
    for (let count = 0; count < 100; count++) {
      window.recordRoundTrip(roundTrip);
      window.recordStatement(statement);
    }
  }

  beforeEach(() => {
    timer = ManualTimerService.create();
    window = StatementWindow.create({slots: 4, timer});
  });

  it('is the slots until both durations are known', () => {
    expect(window.size).to.equal(4);
    window.recordStatement(20);
    expect(window.size).to.equal(4);
    window.recordRoundTrip(10);
    expect(window.size).to.equal(8);
  });

  it('covers the round trip of each slot', () => {
    record(5, 20);
    expect(window.size).to.equal(5);
    record(1, 50);
    expect(window.size).to.equal(4);
  });

  // Guards against work that waits at the member, where priorities don't count.
  it('shrinks while statements wait at the member, and stays bounded', () => {
    record(10, 20);
    expect(window.size).to.equal(8);
    record(10, 40);
    expect(window.size).to.equal(5);
    record(10, 10);
    expect(window.size).to.equal(8);
  });

  it('is the slots for a time after the member refused a statement', async () => {
    record(10, 20);
    window.recordShed();
    expect(window.size).to.equal(4);
    await timer.advanceAsync(1_000);
    expect(window.size).to.equal(8);
  });
});
