import {Logger} from '@apricotlock/logging';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {
  listErrors,
  ProgramSettings,
  SettingsSource,
} from './program_settings.js';

const CHECK_INTERVAL_MILLISECONDS = 2_000;

/** Options of a settings watcher. */
export interface SettingsWatcherOptions {
  readonly source: SettingsSource;
  readonly timer: TimerService;
  readonly logger: Logger;
  /** Called with the settings after each successful reload. */
  readonly onChange: (settings: ProgramSettings) => void;
}

/**
 * Reloads the settings on request, and whenever their modification time has
 * changed.
 */
export class SettingsWatcher {
  private modifiedAt: number;
  private readonly stopChecking: Unsubscribe;

  private constructor(private readonly options: SettingsWatcherOptions) {
    const {source, timer} = options;
    this.modifiedAt = source.modifiedAt();
    this.stopChecking = timer.every(CHECK_INTERVAL_MILLISECONDS, () => {
      if (source.modifiedAt() !== this.modifiedAt) this.reload('changed');
    });
  }

  /** Starts checking the settings for changes periodically. */
  static start(options: SettingsWatcherOptions): SettingsWatcher {
    return new SettingsWatcher(options);
  }

  /**
   * Reloads the settings. If they are invalid, logs the errors and leaves the
   * current settings in force.
   */
  reload(reason: 'changed' | 'signal'): void {
    const {source, logger, onChange} = this.options;
    this.modifiedAt = source.modifiedAt();
    source.load().caseOf({
      Left: error =>
        logger.error(
          'settings reload failed; the current settings remain in force',
          {reason, faults: listErrors(error).join('; ')},
        ),
      Right: settings => {
        const {seeds} = settings;
        const seedAddresses = seeds
          .map(({host, port}) => `${host}:${port}`)
          .join(' ');
        logger.info('settings reloaded', {reason, seeds: seedAddresses});
        onChange(settings);
      },
    });
  }

  /** Stops checking the settings. */
  stop(): void {
    this.stopChecking();
  }
}
