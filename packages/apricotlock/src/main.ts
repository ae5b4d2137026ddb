#!/usr/bin/env node
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {Deferred} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {EntryProcess} from './entry_process.js';
import {
  gatherSettings,
  RawSettings,
  SETTING_DESCRIPTIONS,
  SettingValidationError,
  environmentVariableName,
} from './setting_descriptions.js';
import {checkSettings, Settings} from './settings.js';

const EXIT_FAILURE = 1;
const EXIT_INVALID_SETTINGS = 2;
const EXIT_REQUESTS_INTERRUPTED = 3;
const VERSION = '0.1.0';

await yargs(hideBin(process.argv))
  .scriptName('apricotlock')
  .version(VERSION)
  .command(
    'run',
    'run the process of an entry VM',
    builder => builder.options(flagOptions()),
    flags => run(settingsOrExit(flags as RawSettings)),
  )
  .command(
    'config check',
    'validate the settings and exit',
    builder => builder.options(flagOptions()),
    flags => {
      settingsOrExit(flags as RawSettings);
      process.stdout.write('the settings are valid\n');
    },
  )
  .demandCommand(1)
  .strict()
  .help()
  .parse();

function flagOptions() {
  const options = SETTING_DESCRIPTIONS.map(setting => [
    setting.flag,
    {
      type: 'string',
      describe: `${setting.describe} [${environmentVariableName(setting.flag)}]`,
    },
  ]);
  return Object.fromEntries(options) as Record<
    string,
    {readonly type: 'string'; readonly describe: string}
  >;
}

function settingsOrExit(flags: RawSettings): Settings {
  const checked = checkSettings(gatherSettings(flags, process.env));
  if (checked.isRight()) return checked.unsafeCoerce();
  for (const error of checked.extract() as readonly SettingValidationError[]) {
    process.stderr.write(`${error.flag}: ${error.message}\n`);
  }
  return process.exit(EXIT_INVALID_SETTINGS);
}

async function run(settings: Settings): Promise<void> {
  const logger = Logger.create(
    settings.logFormat,
    settings.logLevel,
  ).withFields({
    vm: settings.name,
  });
  let signalled = false;
  let shuttingDown = false;
  let entry: EntryProcess | undefined;
  const started = Deferred.create<EntryProcess>();
  const shutDown = async () => {
    if (shuttingDown) return;
    shuttingDown = true;
    logger.info('draining');
    // A VM takes on work of callers and of other VMs before its start ends.
    const interrupted = await (await started.promise).drain();
    logger.info('stopped', {interrupted});
    process.exit(interrupted === 0 ? 0 : EXIT_REQUESTS_INTERRUPTED);
  };
  const onSignal = () => {
    // A second signal ends the process without waiting for the drain.
    if (signalled) process.exit(EXIT_FAILURE);
    signalled = true;
    void shutDown();
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  process.on('SIGHUP', () => entry?.reloadCredentials());
  try {
    entry = await EntryProcess.start(settings, logger, () => void shutDown());
    started.resolve(entry);
  } catch (failure) {
    logger.error('program failed to start', {failure: String(failure)});
    process.exit(EXIT_FAILURE);
  }
}
