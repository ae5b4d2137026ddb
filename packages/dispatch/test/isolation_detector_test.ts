import {expect} from 'chai';
import {Logger} from '@apricotlock/logging';
import {ManualTimerService} from '@apricotlock/timer';
import {Contact, ContactWatch} from '../src/index.js';

const CONNECTED: Contact = {
  viewAgeMilliseconds: 50,
  evidenceAgeMilliseconds: 50,
};
const ISOLATED: Contact = {
  viewAgeMilliseconds: 5_000,
  evidenceAgeMilliseconds: 5_000,
};

describe('IsolationDetector', () => {
  let timer: ManualTimerService;
  let contact: Contact;
  let detector: ContactWatch;

  beforeEach(() => {
    timer = ManualTimerService.create();
    contact = CONNECTED;
    detector = ContactWatch.start({
      contact: () => contact,
      timer,
      logger: Logger.silent(),
    });
  });

  function setConnectivity(current: Contact): void {
    contact = current;
    timer.advance(200);
  }

  it('closes idle sessions after two consecutive failed probes', () => {
    setConnectivity(ISOLATED);
    expect(detector.cutOff).to.equal(true);
    detector.probed(false);
    expect(detector.closeIdleBefore).to.equal(undefined);
    detector.probed(false);
    expect(detector.closeIdleBefore).to.be.at.least(timer.now());
  });

  it('keeps sessions that began after the balancer had reason to stop', () => {
    setConnectivity(ISOLATED);
    detector.probed(false);
    detector.probed(false);
    timer.advance(1_000);
    detector.probed(false);
    expect(detector.closeIdleBefore).to.be.below(timer.now());
  });

  it('counts failed probes from zero after a successful one', () => {
    setConnectivity(ISOLATED);
    detector.probed(false);
    detector.probed(true);
    detector.probed(false);
    expect(detector.closeIdleBefore).to.equal(undefined);
  });

  it('keeps sessions of a VM that is not ready but connected', () => {
    detector.probed(false);
    detector.probed(false);
    expect(detector.closeIdleBefore).to.equal(undefined);
    setConnectivity(ISOLATED);
    setConnectivity(CONNECTED);
    expect(detector.closeIdleBefore).to.equal(undefined);
  });
});
