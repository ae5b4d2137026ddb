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
    describe: 'operator address of a VM, as IP:PORT [APRICOTLOCK_ADDRESS]',
    default: process.env['APRICOTLOCK_ADDRESS'] ?? '127.0.0.1:7200',
  },
  tokenFile: {
    type: 'string',
    describe: 'file with the operator token [APRICOTLOCK_TOKEN_FILE]',
    default: process.env['APRICOTLOCK_TOKEN_FILE'] ?? 'operator-token',
  },
  authorityFile: {
    type: 'string',
    describe:
      'file with the CA certificate of the API; enables TLS ' +
      '[APRICOTLOCK_AUTHORITY_FILE]',
    default: process.env['APRICOTLOCK_AUTHORITY_FILE'] ?? '',
  },
  output: {
    choices: ['table', 'json'] as const,
    describe: 'output format',
    default: 'table' as const,
  },
} as const;

const changeOptions = {
  changeId: {
    type: 'string',
    describe: 'id of the change; use the same id to retry it',
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
  .command(
    'status',
    'show the databases as known to a VM',
    addNoOptions,
    flags => showStatus(flags as unknown as CommonFlags),
  )
  .command('catalogue', 'show and change the catalogue', addCatalogueCommands)
  .command('server', 'list and change backend servers', addServerCommands)
  .command('vm', 'list and drain VMs', addMachineCommands)
  .command(
    'audit',
    'show the audit trail',
    builder =>
      builder.options({
        ...commonOptions,
        since: {
          type: 'string',
          describe: 'log index, or a time such as 2026-12-03T20:00Z',
          default: '0',
        },
      }),
    flags => showAudit(flags),
  )
  .demandCommand(1)
  .strict()
  .help()
  .parse();

function addNoOptions<T>(builder: Argv<T>): Argv<T> {
  return builder;
}

function addCatalogueCommands(builder: Argv) {
  return builder
    .options(commonOptions)
    .command('get', 'show the catalogue', addNoOptions, flags =>
      getCatalogue(flags as unknown as CommonFlags),
    )
    .command(
      'put <file>',
      'replace the catalogue with the one in a file',
      put =>
        put
          .options({...commonOptions, ...changeOptions})
          .option('baseVersion', {
            type: 'number',
            describe: 'catalogue version on which the file is based',
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
      'compare the catalogue in a file with the current one',
      diff =>
        diff
          .options(commonOptions)
          .positional('file', {type: 'string', demandOption: true}),
      flags => diffCatalogue(flags),
    )
    .command('history', 'show who changed the catalogue', addNoOptions, flags =>
      showHistory(flags as unknown as CommonFlags),
    )
    .demandCommand(1);
}

function addServerCommands(builder: Argv) {
  const withName = (command: Argv) =>
    command
      .options({...commonOptions, ...changeOptions})
      .positional('name', {type: 'string', demandOption: true});
  return builder
    .options(commonOptions)
    .command('list', 'list backend servers', addNoOptions, flags =>
      listServers(flags as unknown as CommonFlags),
    )
    .command('drain <name>', 'drain a server', withName, flags =>
      changeServer(flags, 'drain'),
    )
    .command('remove <name>', 'remove a drained server', withName, flags =>
      changeServer(flags, 'remove'),
    )
    .command('activate <name>', 'return a server to use', withName, flags =>
      changeServer(flags, 'activate'),
    )
    .demandCommand(1);
}

function addMachineCommands(builder: Argv) {
  return builder
    .options(commonOptions)
    .command('list', 'list VMs', addNoOptions, flags =>
      listMachines(flags as unknown as CommonFlags),
    )
    .command(
      'drain <name>',
      'drain a VM and shut down its process',
      command =>
        command
          .options(commonOptions)
          .positional('name', {type: 'string', demandOption: true}),
      flags => drainMachine(flags),
    )
    .demandCommand(1);
}
