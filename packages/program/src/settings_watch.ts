import {Logger} from '@apricotlock/logging';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {faultsOf, ProgramSettings, SettingsSource} from './program_settings.js';

const CHECK_MILLISECONDS = 2_000;

/** What following the settings needs. */
export interface SettingsWatchOptions {
  readonly source: SettingsSource;
  readonly timer: TimerService;
  readonly logger: Logger;
  /** Takes over settings that have changed and are good. */
  readonly changed: (settings: ProgramSettings) => void;
}

/** Reads the settings anew when told to, and when they have changed. */
export class SettingsWatch {
  private modifiedAt: number;
  private readonly stopChecking: Unsubscribe;

  private constructor(private readonly options: SettingsWatchOptions) {
    const {source, timer} = options;
    this.modifiedAt = source.modifiedAt();
    this.stopChecking = timer.every(CHECK_MILLISECONDS, () => {
      if (source.modifiedAt() !== this.modifiedAt) this.reload('changed');
    });
  }

  /** Starts to follow the settings. */
  static start(options: SettingsWatchOptions): SettingsWatch {
    return new SettingsWatch(options);
  }

  /** Reads the settings; those that are not good change nothing. */
  reload(why: 'changed' | 'signal'): void {
    const {source, logger, changed} = this.options;
    this.modifiedAt = source.modifiedAt();
    source.load().caseOf({
      Left: error =>
        logger.error('the settings stay as they were', {
          why,
          faults: faultsOf(error).join('; '),
        }),
      Right: settings => {
        const {seeds} = settings;
        const named = seeds.map(({host, port}) => `${host}:${port}`).join(' ');
        logger.info('read the settings again', {why, seeds: named});
        changed(settings);
      },
    });
  }

  /** Follows the settings no more. */
  stop(): void {
    this.stopChecking();
  }
}
