import {faultsOf, SettingsError, SettingsSource} from './program_settings.js';

const EXIT_BAD_SETTINGS = 2;
const VERSION = '0.1.0';

/** What the command line speaks of. */
export interface NamedProgram {
  readonly name: string;
  readonly source: SettingsSource;
}

/**
 * Carries out a command: `run`, `config check`, `--help` or `--version`. The
 * parser is loaded only here, so that a program that just runs does not pay
 * for it.
 */
export async function runCommand(
  {name, source}: NamedProgram,
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

/** Names everything that is wrong with the settings, or says that nothing is. */
function checkSettings(source: SettingsSource): void {
  source.load().caseOf({
    Left: (error: SettingsError) => {
      for (const fault of faultsOf(error)) process.stderr.write(`${fault}\n`);
      process.exitCode = EXIT_BAD_SETTINGS;
    },
    Right: ({node, dataCentre}) => {
      process.stdout.write(
        `the settings of ${node} in ${dataCentre} are good\n`,
      );
    },
  });
}
