import {listErrors, SettingsError, SettingsSource} from './program_settings.js';

const EXIT_INVALID_SETTINGS = 2;
const VERSION = '0.1.0';

/** The name of a program and the source of its settings. */
export interface CommandLineProgram {
  readonly name: string;
  readonly source: SettingsSource;
}

/**
 * Runs a command: `run`, `config check`, `--help` or `--version`. The parser is
 * imported here, so that a program that is started without arguments does not
 * load it.
 */
export async function runCommand(
  {name, source}: CommandLineProgram,
  commands: readonly string[],
  run: () => Promise<void>,
): Promise<void> {
  const {default: yargs} = await import('yargs');
  await yargs([...commands])
    .scriptName(name)
    .usage('$0 <command>\n\nSettings are read from ' + source.description)
    .version(VERSION)
    .command('run', 'run until SIGTERM (the default)', {}, run)
    .command('config check', 'check the settings and exit', {}, () =>
      checkSettings(source),
    )
    .demandCommand(1)
    .strict()
    .help()
    .parseAsync();
}

/**
 * Writes every error of the settings to standard error and sets the exit code,
 * or confirms on standard output that the settings are valid.
 */
function checkSettings(source: SettingsSource): void {
  source.load().caseOf({
    Left: (error: SettingsError) => {
      for (const text of listErrors(error)) process.stderr.write(`${text}\n`);
      process.exitCode = EXIT_INVALID_SETTINGS;
    },
    Right: ({node, dataCentre}) => {
      process.stdout.write(
        `the settings of ${node} in ${dataCentre} are valid\n`,
      );
    },
  });
}
