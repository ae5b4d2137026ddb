import {Logger} from '@apricotlock/logging';
import {SystemTimerService} from '@apricotlock/timer';
import {runCommand} from './command_line.js';
import {
  listErrors,
  ProgramSettings,
  SettingsError,
  SettingsSource,
} from './program_settings.js';
import {RunningProgram, SignalSupervisor} from './signal_supervisor.js';

export type {RunningProgram};

const EXIT_FAILURE = 1;
const EXIT_INVALID_SETTINGS = 2;
/** Consola's numeric level for `info` messages. */
const INFORMATION_LEVEL = 3;

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
  const supervisor = SignalSupervisor.install({
    signals: process,
    source,
    settings,
    timer: SystemTimerService.create(),
    logger: vmLogger,
  });
  try {
    await supervisor.run(() => start(settings, vmLogger));
  } catch (failure) {
    vmLogger.error('program failed to start or to stop', {
      failure: String(failure),
    });
    process.exit(EXIT_FAILURE);
  }
  process.exit(0);
}
