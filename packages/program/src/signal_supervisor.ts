import {TIMED_OUT} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {TimerService} from '@apricotlock/timer';
import {ProgramSettings, SettingsSource} from './program_settings.js';
import {SettingsWatcher} from './settings_watcher.js';

/** The part of the grace period in which a start may still complete. */
const START_SHARE = 0.5;

/** A program that has been started. */
export interface RunningProgram {
  /** Applies settings that were reloaded. */
  applySettings(settings: ProgramSettings): void;

  /** Stops the program within the grace period of its settings. */
  stop(): Promise<void>;
}

/** The signals that a program handles. */
export type ProgramSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP';

/** Where signals come from: the process, or a test. */
export interface SignalSource {
  on(signal: ProgramSignal, handler: () => void): unknown;
}

/** Options of {@link SignalSupervisor}. */
export interface SignalSupervisorOptions {
  readonly signals: SignalSource;
  readonly source: SettingsSource;
  readonly settings: ProgramSettings;
  readonly timer: TimerService;
  readonly logger: Logger;
}

/**
 * Handles the signals to a program from before its start, as a program listens
 * for callers before its start has completed.
 */
export class SignalSupervisor {
  private readonly stopSignal: Promise<ProgramSignal>;
  private watcher: SettingsWatcher | undefined;
  private reloadRequested = false;
  private stopping = false;

  private constructor(private readonly options: SignalSupervisorOptions) {
    const {signals} = options;
    this.stopSignal = new Promise(resolve => {
      for (const signal of ['SIGTERM', 'SIGINT'] as const) {
        signals.on(signal, () => resolve(signal));
      }
    });
    void this.stopSignal.then(() => {
      this.stopping = true;
    });
    signals.on('SIGHUP', () => this.reload());
  }

  /** Installs the handlers of the signals. */
  static install(options: SignalSupervisorOptions): SignalSupervisor {
    return new SignalSupervisor(options);
  }

  /**
   * Runs a program until SIGTERM or SIGINT, and resolves once it has stopped. A
   * program that is still starting is stopped after its start; `run` resolves
   * without a stop if the start lasts for more than half of the grace period
   * after the signal. Rejects if the start or the stop does.
   */
  async run(start: () => Promise<RunningProgram>): Promise<void> {
    const {logger, settings} = this.options;
    const started = start();
    const program = await Promise.race([started, this.startTimeout()]);
    if (program === TIMED_OUT) {
      logger.warn('stopped before the start was complete', {});
      return;
    }
    logger.info('started', {
      process: process.pid,
      firstStart: settings.firstStart,
    });
    this.watchSettings(program);
    const signal = await this.stopSignal;
    this.watcher?.stop();
    logger.info('stopping', {signal});
    await program.stop();
    logger.info('stopped', {});
  }

  /** Resolves when a start may no longer complete, after a signal to stop. */
  private async startTimeout(): Promise<typeof TIMED_OUT> {
    const {timer, settings} = this.options;
    await this.stopSignal;
    await timer.sleep(settings.graceMilliseconds * START_SHARE);
    return TIMED_OUT;
  }

  private watchSettings(program: RunningProgram): void {
    const {source, timer, logger} = this.options;
    if (this.stopping) return;
    this.watcher = SettingsWatcher.start({
      source,
      timer,
      logger,
      onChange: settings => program.applySettings(settings),
    });
    if (this.reloadRequested) this.watcher.reload('signal');
  }

  /** Reloads the settings; during the start, once it has completed. */
  private reload(): void {
    if (this.stopping) return;
    this.reloadRequested = true;
    this.watcher?.reload('signal');
  }
}
