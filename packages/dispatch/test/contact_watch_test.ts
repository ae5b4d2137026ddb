import {expect} from 'chai';
import {Logger} from '@apricotlock/logging';
import {ManualTimerService} from '@apricotlock/timer';
import {Contact, ContactWatch} from '../src/index.js';

const IN_TOUCH: Contact = {
  viewAgeMilliseconds: 50,
  evidenceAgeMilliseconds: 50,
};
const APART: Contact = {
  viewAgeMilliseconds: 5_000,
  evidenceAgeMilliseconds: 5_000,
};

describe('ContactWatch', () => {
  let timer: ManualTimerService;
  let contact: Contact;
  let watch: ContactWatch;

  beforeEach(() => {
    timer = ManualTimerService.create();
    contact = IN_TOUCH;
    watch = ContactWatch.start({
      contact: () => contact,
      timer,
      logger: Logger.silent(),
    });
  });

  function become(next: Contact): void {
    contact = next;
    timer.advance(200);
  }

  it('closes idle sessions once the balancer was told twice', () => {
    become(APART);
    expect(watch.cutOff).to.equal(true);
    watch.probed(false);
    expect(watch.closeIdleBefore).to.equal(undefined);
    watch.probed(false);
    expect(watch.closeIdleBefore).to.be.at.least(timer.now());
  });

  it('keeps sessions that the balancer sends here all the same', () => {
    become(APART);
    watch.probed(false);
    watch.probed(false);
    timer.advance(1_000);
    watch.probed(false);
    expect(watch.closeIdleBefore).to.be.below(timer.now());
  });

  it('counts anew after a probe that was told to send callers', () => {
    become(APART);
    watch.probed(false);
    watch.probed(true);
    watch.probed(false);
    expect(watch.closeIdleBefore).to.equal(undefined);
  });

  it('keeps sessions of a VM that is not ready for another reason', () => {
    watch.probed(false);
    watch.probed(false);
    expect(watch.closeIdleBefore).to.equal(undefined);
    become(APART);
    become(IN_TOUCH);
    expect(watch.closeIdleBefore).to.equal(undefined);
  });
});
