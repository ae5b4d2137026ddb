import {expect} from 'chai';
import {Logger} from '@apricotlock/logging';
import {ManualTimerService} from '@apricotlock/timer';
import {Connectivity, IsolationDetector} from '../src/index.js';

const CONNECTED: Connectivity = {
  viewAgeMilliseconds: 50,
  primaryContactAgeMilliseconds: 50,
  hasLostPeer: false,
};
const ISOLATED: Connectivity = {
  viewAgeMilliseconds: 5_000,
  primaryContactAgeMilliseconds: 5_000,
  hasLostPeer: true,
};

describe('IsolationDetector', () => {
  let timer: ManualTimerService;
  let connectivity: Connectivity;
  let detector: IsolationDetector;

  beforeEach(() => {
    timer = ManualTimerService.create();
    connectivity = CONNECTED;
    detector = IsolationDetector.start({
      connectivity: () => connectivity,
      timer,
      logger: Logger.silent(),
    });
  });

  function setConnectivity(current: Connectivity): void {
    connectivity = current;
    timer.advance(200);
  }

  it('closes idle sessions after two consecutive failed probes', () => {
    setConnectivity(ISOLATED);
    expect(detector.isIsolated).to.equal(true);
    detector.recordProbe(false);
    expect(detector.closeIdleBefore).to.equal(undefined);
    detector.recordProbe(false);
    expect(detector.closeIdleBefore).to.be.at.least(timer.now());
  });

  it('keeps sessions that began after the balancer had reason to stop', () => {
    setConnectivity(ISOLATED);
    detector.recordProbe(false);
    detector.recordProbe(false);
    timer.advance(1_000);
    detector.recordProbe(false);
    expect(detector.closeIdleBefore).to.be.below(timer.now());
  });

  it('counts failed probes from zero after a successful one', () => {
    setConnectivity(ISOLATED);
    detector.recordProbe(false);
    detector.recordProbe(true);
    detector.recordProbe(false);
    expect(detector.closeIdleBefore).to.equal(undefined);
  });

  it('keeps sessions of a VM that is not ready but connected', () => {
    detector.recordProbe(false);
    detector.recordProbe(false);
    expect(detector.closeIdleBefore).to.equal(undefined);
    setConnectivity(ISOLATED);
    setConnectivity(CONNECTED);
    expect(detector.closeIdleBefore).to.equal(undefined);
  });

  // Callers that return while the links to lease holders are still broken wait
  // there for nothing.
  it('stays isolated until a lease holder answers', () => {
    setConnectivity(ISOLATED);
    setConnectivity({...ISOLATED, viewAgeMilliseconds: 50});
    expect(detector.isIsolated).to.equal(true);
    setConnectivity(CONNECTED);
    expect(detector.isIsolated).to.equal(false);
  });

  it('is connected once its view was confirmed for long', () => {
    setConnectivity(ISOLATED);
    setConnectivity({...ISOLATED, viewAgeMilliseconds: 50});
    timer.advance(2_500);
    expect(detector.isIsolated).to.equal(false);
  });

  // All other VMs are affected in the same way, and closing the sessions would
  // leave their callers without any VM.
  it('is not isolated while control is lost and other VMs answer', () => {
    setConnectivity({...ISOLATED, hasLostPeer: false});
    expect(detector.isIsolated).to.equal(false);
  });
});
