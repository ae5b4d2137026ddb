import {expect} from 'chai';
import {ManualTimerService} from '../src/index.js';

describe('ManualTimerService', () => {
  describe('advance', () => {
    it('runs actions in the order of their due times', () => {
      const timer = ManualTimerService.create();
      const seen: string[] = [];
      timer.once(20, () => seen.push('late'));
      timer.once(10, () => seen.push('early'));
      timer.advance(30);
      expect(seen).to.deep.equal(['early', 'late']);
    });

    it('repeats a periodic action until it is unsubscribed', () => {
      const timer = ManualTimerService.create();
      let count = 0;
      const stop = timer.every(10, () => count++);
      timer.advance(35);
      stop();
      timer.advance(100);
      expect(count).to.equal(3);
    });
  });
});
