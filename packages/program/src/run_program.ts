import {Logger} from '@apricotlock/logging';
import {SystemTimerService} from '@apricotlock/timer';
import {runCommand} from './command_line.js';
import {
  faultsOf,
  ProgramSettings,
  SettingsError,
  SettingsSource,
} from './program_settings.js';
import {SettingsWatch} from './settings_watch.js';

const EXIT_FAILURE = 1;
const EXIT_BAD_SETTINGS = 2;
/** Consola's level for information. */
const INFORMATION_LEVEL = 3;

/** A program that was started. */
export interface RunningProgram {
  /** Takes over settings that have changed. */
  takeSettings(settings: ProgramSettings): void;

  /** Ends what is under way, within the grace of the settings. */
  stop(): Promise<void>;
}

/** A program, and where its settings come from. */
export interface ProgramDescription {
  readonly name: string;
  readonly source: SettingsSource;
  readonly start: (
    settings: ProgramSettings,
    logger: Logger,
  ) => Promise<RunningProgram>;
}

/** Does what the command line asks for; without arguments, runs until SIGTERM. */
export async function runProgram(program: ProgramDescription): Promise<void> {
  const commands = process.argv.slice(2);
  if (commands.length === 0) return serve(program);
  await runCommand(program, commands, () => serve(program));
}

async function serve({source, start}: ProgramDescription): Promise<void> {
  const logger = Logger.create('json', INFORMATION_LEVEL);
  const loaded = source.load();
  if (loaded.isLeft()) {
    for (const fault of faultsOf(loaded.extract() as SettingsError)) {
      logger.error('bad settings', {fault});
    }
    process.exit(EXIT_BAD_SETTINGS);
  }
  const settings = loaded.unsafeCoerce();
  const named = logger.with({vm: settings.node});
  try {
    const program = await start(settings, named);
    named.info('started', {
      process: process.pid,
      firstStart: settings.firstStart,
    });
    obeySignals(program, source, named);
  } catch (failure) {
    named.error('could not start', {failure: String(failure)});
    process.exit(EXIT_FAILURE);
  }
}

function obeySignals(
  program: RunningProgram,
  source: SettingsSource,
  logger: Logger,
): void {
  const watch = SettingsWatch.start({
    source,
    timer: SystemTimerService.create(),
    logger,
    changed: settings => program.takeSettings(settings),
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
  process.on('SIGHUP', () => watch.reload('signal'));
}
