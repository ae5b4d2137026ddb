import {expect} from 'chai';
import {Either, Left, Right} from 'purify-ts';
import {Logger} from '@apricotlock/logging';
import {ManualTimerService} from '@apricotlock/timer';
import {
  ProgramSettings,
  SettingsError,
  SettingsSource,
  SettingsWatch,
} from '../src/index.js';

const ADDRESS = {host: '127.0.0.1', port: 1};
const SETTINGS: ProgramSettings = {
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
  graceMilliseconds: 6_000,
};

/** Settings that a test changes. */
class FakeSource extends SettingsSource {
  override readonly description = 'a test';
  content: Either<SettingsError, ProgramSettings> = Right(SETTINGS);
  changedAt = 1;

  override load(): Either<SettingsError, ProgramSettings> {
    return this.content;
  }

  override modifiedAt(): number {
    return this.changedAt;
  }
}

describe('SettingsWatch', () => {
  function watching() {
    const timer = ManualTimerService.create();
    const source = new FakeSource();
    const taken: ProgramSettings[] = [];
    const watch = SettingsWatch.start({
      source,
      timer,
      logger: Logger.silent(),
      changed: settings => taken.push(settings),
    });
    return {timer, source, taken, watch};
  }

  it('takes settings over that have changed without a signal', () => {
    const {timer, source, taken} = watching();
    timer.advance(5_000);
    expect(taken).to.have.lengthOf(0);
    source.changedAt = 2;
    timer.advance(5_000);
    expect(taken).to.have.lengthOf(1);
  });

  it('keeps the old ones while the new ones are bad', () => {
    const {source, taken, watch} = watching();
    source.content = Left({kind: 'invalid', faults: ['seeds: none']});
    watch.reload('signal');
    expect(taken).to.have.lengthOf(0);
    source.content = Right(SETTINGS);
    watch.reload('signal');
    expect(taken).to.deep.equal([SETTINGS]);
  });
});
