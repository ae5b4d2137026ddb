import {Logger} from '@apricotlock/logging';
import {SystemTimerService} from '@apricotlock/timer';
import {runCommand} from './command_line.js';
import {
  listErrors,
  ProgramSettings,
  SettingsError,
  SettingsSource,
} from './program_settings.js';
import {SettingsWatcher} from './settings_watcher.js';

const EXIT_FAILURE = 1;
const EXIT_INVALID_SETTINGS = 2;
/** Consola's numeric level for `info` messages. */
const INFORMATION_LEVEL = 3;

/** A program that has been started. */
export interface RunningProgram {
  /** Applies settings that were reloaded. */
  applySettings(settings: ProgramSettings): void;

  /** Stops the program within the grace period of its settings. */
  stop(): Promise<void>;
}

/** A program, the source of its settings and how to start it. */
export interface ProgramDescription {
  readonly name: string;
  readonly source: SettingsSource;
  readonly start: (
    settings: ProgramSettings,
    logger: Logger,
  ) => Promise<RunningProgram>;
}

/**
 * Runs the command given on the command line. Without arguments, starts the
 * program, which runs until SIGTERM or SIGINT.
 */
export async function runProgram(program: ProgramDescription): Promise<void> {
  const commands = process.argv.slice(2);
  if (commands.length === 0) return startProgram(program);
  await runCommand(program, commands, () => startProgram(program));
}

async function startProgram({
  source,
  start,
}: ProgramDescription): Promise<void> {
  const logger = Logger.create('json', INFORMATION_LEVEL);
  const loaded = source.load();
  if (loaded.isLeft()) {
    for (const error of listErrors(loaded.extract() as SettingsError)) {
      logger.error('invalid settings', {error});
    }
    process.exit(EXIT_INVALID_SETTINGS);
  }
  const settings = loaded.unsafeCoerce();
  const vmLogger = logger.withFields({vm: settings.node});
  try {
    const program = await start(settings, vmLogger);
    vmLogger.info('started', {
      process: process.pid,
      firstStart: settings.firstStart,
    });
    handleSignals(program, source, vmLogger);
  } catch (failure) {
    vmLogger.error('program failed to start', {failure: String(failure)});
    process.exit(EXIT_FAILURE);
  }
}

function handleSignals(
  program: RunningProgram,
  source: SettingsSource,
  logger: Logger,
): void {
  const watcher = SettingsWatcher.start({
    source,
    timer: SystemTimerService.create(),
    logger,
    onChange: settings => program.applySettings(settings),
  });
  let stopping = false;
  const stop = async (signal: string) => {
    if (stopping) return;
    stopping = true;
    logger.info('stopping', {signal});
    await program.stop();
    logger.info('stopped', {});
    process.exit(0);
  };
  process.on('SIGTERM', () => void stop('SIGTERM'));
  process.on('SIGINT', () => void stop('SIGINT'));
  process.on('SIGHUP', () => watcher.reload('signal'));
}
