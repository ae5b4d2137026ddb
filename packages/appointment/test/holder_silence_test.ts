import {expect} from 'chai';
import {ManualTimerService} from '@apricotlock/timer';
import {HolderSilence} from '../src/holder_silence.js';

const TICK_MILLISECONDS = 50;

describe('HolderSilence', () => {
  let timer: ManualTimerService;
  let silence: HolderSilence;

  beforeEach(() => {
    timer = ManualTimerService.create();
    timer.advance(100_000);
    silence = HolderSilence.start(timer);
  });

  /**
   * Lets a group choose holders that each need some time for their first
   * request; returns the term whose holder was heard, and the time it took.
   */
  function electUntilHeard(firstRequestMilliseconds: number) {
    const startedAt = timer.now();
    let term = 1;
    let termStartedAt = timer.now();
    for (;;) {
      const group = {database: 'ledger', term};
      if (timer.now() - termStartedAt >= firstRequestMilliseconds) {
        return {term, milliseconds: timer.now() - startedAt};
      }
      if (silence.isLost(group)) {
        silence.recordReplacement(group);
        term += 1;
        termStartedAt = timer.now();
      }
      timer.advance(TICK_MILLISECONDS);
    }
  }

  describe('after a restart of all VMs', () => {
    it('waits for a holder that needs a second for its first request', () => {
      const {term, milliseconds} = electUntilHeard(1_000);
      expect(term).to.equal(1);
      expect(milliseconds).to.be.at.most(1_050);
    });
  });

  describe('while other holders are heard', () => {
    beforeEach(() => silence.recordRequest('another'));

    it('replaces a silent holder within half a second', () => {
      const group = {database: 'ledger', term: 1};
      expect(silence.isLost(group)).to.equal(false);
      timer.advance(500);
      expect(silence.isLost(group)).to.equal(true);
    });

    it('allows more time with each holder that was replaced unheard', () => {
      expect(electUntilHeard(1_200).term).to.equal(3);
    });

    it('allows the usual time again once a holder was heard', () => {
      for (const term of [1, 2, 3]) {
        silence.isLost({database: 'ledger', term});
        timer.advance(2_000);
        silence.recordReplacement({database: 'ledger', term});
      }
      silence.recordRequest('ledger');
      timer.advance(500);
      expect(silence.isLost({database: 'ledger', term: 3})).to.equal(true);
    });

    it('does not count a holder that was heard before it fell silent', () => {
      const group = {database: 'ledger', term: 1};
      silence.isLost(group);
      timer.advance(100);
      silence.recordRequest('ledger');
      timer.advance(500);
      silence.recordReplacement(group);
      const next = {database: 'ledger', term: 2};
      silence.isLost(next);
      timer.advance(500);
      expect(silence.isLost(next)).to.equal(true);
    });
  });
});
