#!/usr/bin/env node
import yargs, {Argv} from 'yargs';
import {hideBin} from 'yargs/helpers';
import {
  diffCatalogue,
  editCatalogue,
  getCatalogue,
  putCatalogue,
  showHistory,
} from './catalogue_commands.js';
import {CommonFlags} from './command_context.js';
import {
  changeServer,
  drainMachine,
  listMachines,
  listServers,
  showAudit,
  showStatus,
} from './system_commands.js';

const VERSION = '0.1.0';

const commonOptions = {
  address: {
    type: 'string',
    describe: "a VM's operators' address, IP:PORT [APRICOTLOCK_ADDRESS]",
    default: process.env['APRICOTLOCK_ADDRESS'] ?? '127.0.0.1:7200',
  },
  tokenFile: {
    type: 'string',
    describe: "file with the operators' token [APRICOTLOCK_TOKEN_FILE]",
    default: process.env['APRICOTLOCK_TOKEN_FILE'] ?? 'operator-token',
  },
  authorityFile: {
    type: 'string',
    describe:
      "file with who signs the API's certificate, for TLS " +
      '[APRICOTLOCK_AUTHORITY_FILE]',
    default: process.env['APRICOTLOCK_AUTHORITY_FILE'] ?? '',
  },
  output: {
    choices: ['table', 'json'] as const,
    describe: 'how answers are shown',
    default: 'table' as const,
  },
} as const;

const changeOptions = {
  changeId: {
    type: 'string',
    describe: 'names the change; send it again under the same id',
  },
  wait: {
    type: 'boolean',
    describe: 'wait until the change is in force on every live VM',
    default: false,
  },
} as const;

const editOptions = {
  set: {
    type: 'string',
    array: true,
    describe: 'PATH=VALUE, such as limits.slots=3; may be repeated',
    default: [] as readonly string[],
  },
  delete: {
    type: 'boolean',
    describe: 'delete the entry',
    default: false,
  },
} as const;

await yargs(hideBin(process.argv))
  .scriptName('apricotctl')
  .version(VERSION)
  .options(commonOptions)
  .command('status', 'show the databases', noOptions, flags =>
    showStatus(flags as unknown as CommonFlags),
  )
  .command('catalogue', 'the catalogue', catalogueCommands)
  .command('server', 'backend servers', serverCommands)
  .command('vm', 'entry VMs and control VMs', machineCommands)
  .command(
    'audit',
    'show the audit trail',
    builder =>
      builder.options({
        ...commonOptions,
        since: {
          type: 'string',
          describe: 'an index of the log, or a time such as 2026-12-03T20:00Z',
          default: '0',
        },
      }),
    flags => showAudit(flags),
  )
  .demandCommand(1)
  .strict()
  .help()
  .parse();

function noOptions<T>(builder: Argv<T>): Argv<T> {
  return builder;
}

function catalogueCommands(builder: Argv) {
  return builder
    .options(commonOptions)
    .command('get', 'show the catalogue', noOptions, flags =>
      getCatalogue(flags as unknown as CommonFlags),
    )
    .command(
      'put <file>',
      'replace the catalogue by that in a file',
      put =>
        put
          .options({...commonOptions, ...changeOptions})
          .option('baseVersion', {
            type: 'number',
            describe: 'the version from which the edit was made',
          })
          .positional('file', {type: 'string', demandOption: true}),
      flags => putCatalogue(flags),
    )
    .command(
      'edit <name>',
      'change, add or delete one entry',
      edit =>
        edit
          .options({...commonOptions, ...changeOptions})
          .options(editOptions)
          .positional('name', {type: 'string', demandOption: true}),
      flags => editCatalogue(flags),
    )
    .command(
      'diff <file>',
      'show what putting a file would change',
      diff =>
        diff
          .options(commonOptions)
          .positional('file', {type: 'string', demandOption: true}),
      flags => diffCatalogue(flags),
    )
    .command('history', 'show who changed the catalogue', noOptions, flags =>
      showHistory(flags as unknown as CommonFlags),
    )
    .demandCommand(1);
}

function serverCommands(builder: Argv) {
  const withName = (command: Argv) =>
    command
      .options({...commonOptions, ...changeOptions})
      .positional('name', {type: 'string', demandOption: true});
  return builder
    .options(commonOptions)
    .command('list', 'list backend servers', noOptions, flags =>
      listServers(flags as unknown as CommonFlags),
    )
    .command('drain <name>', 'give it no new work', withName, flags =>
      changeServer(flags, 'drain'),
    )
    .command('remove <name>', 'forget a drained server', withName, flags =>
      changeServer(flags, 'remove'),
    )
    .command('activate <name>', 'give it work again', withName, flags =>
      changeServer(flags, 'activate'),
    )
    .demandCommand(1);
}

function machineCommands(builder: Argv) {
  return builder
    .options(commonOptions)
    .command('list', 'list VMs', noOptions, flags =>
      listMachines(flags as unknown as CommonFlags),
    )
    .command(
      'drain <name>',
      'end its process without cutting a request',
      command =>
        command
          .options(commonOptions)
          .positional('name', {type: 'string', demandOption: true}),
      flags => drainMachine(flags),
    )
    .demandCommand(1);
}
