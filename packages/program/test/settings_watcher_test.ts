import {expect} from 'chai';
import {Either, Left, Right} from 'purify-ts';
import {Logger} from '@apricotlock/logging';
import {ManualTimerService} from '@apricotlock/timer';
import {
  ProgramSettings,
  SettingsError,
  SettingsSource,
  SettingsWatcher,
} from '../src/index.js';
import {SETTINGS} from './support/fixed_settings.js';

/** A settings source whose content and modification time a test sets. */
class FakeSettingsSource extends SettingsSource {
  override readonly description = 'a test';
  content: Either<SettingsError, ProgramSettings> = Right(SETTINGS);
  modificationTime = 1;

  override load(): Either<SettingsError, ProgramSettings> {
    return this.content;
  }

  override modifiedAt(): number {
    return this.modificationTime;
  }
}

describe('SettingsWatcher', () => {
  function startWatcher() {
    const timer = ManualTimerService.create();
    const source = new FakeSettingsSource();
    const applied: ProgramSettings[] = [];
    const watcher = SettingsWatcher.start({
      source,
      timer,
      logger: Logger.silent(),
      onChange: settings => applied.push(settings),
    });
    return {timer, source, applied, watcher};
  }

  it('applies changed settings without a signal', () => {
    const {timer, source, applied} = startWatcher();
    timer.advance(5_000);
    expect(applied).to.have.lengthOf(0);
    source.modificationTime = 2;
    timer.advance(5_000);
    expect(applied).to.have.lengthOf(1);
  });

  it('keeps the current settings if the new ones are invalid', () => {
    const {source, applied, watcher} = startWatcher();
    source.content = Left({kind: 'invalid', faults: ['seeds: none']});
    watcher.reload('signal');
    expect(applied).to.have.lengthOf(0);
    source.content = Right(SETTINGS);
    watcher.reload('signal');
    expect(applied).to.deep.equal([SETTINGS]);
  });
});
