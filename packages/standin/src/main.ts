import {createServer} from 'node:net';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {Logger} from '@apricotlock/logging';
import {SystemTimerService} from '@apricotlock/timer';
import {Address, parseAddress} from '@apricotlock/topology';
import {StatementClassifier} from '@apricotlock/sql';
import {announce} from './announcer.js';
import {serveCommands} from './command_server.js';
import {serveConnection} from './database_session.js';
import {FaultGate} from './fault_gate.js';
import {MemberApiServer} from './member_api_server.js';
import {MemberRuntime} from './member_runtime.js';
import {FileMemberStore, MemoryMemberStore} from './member_store.js';
import {applyRecords, replicate} from './replication.js';
import {WorkCounter} from './work_counter.js';

const options = await yargs(hideBin(process.argv))
  .option('name', {type: 'string', demandOption: true})
  .option('database', {type: 'string', demandOption: true})
  .option('data-centre', {type: 'string', demandOption: true})
  .option('address', {type: 'string', demandOption: true})
  .option('api-address', {type: 'string', demandOption: true})
  .option('command-address', {type: 'string', demandOption: true})
  .option('announced-address', {type: 'string'})
  .option('announced-api-address', {type: 'string'})
  .option('announce-to', {type: 'string', array: true, default: []})
  .option('primary', {type: 'boolean', default: false})
  .option('connections', {type: 'number', default: 16})
  .option('slots', {type: 'number', default: 2})
  .option('opening-milliseconds', {type: 'number', default: 10})
  .option('data-folder', {type: 'string'})
  .strict()
  .parse();

const timer = SystemTimerService.create();
const logger = Logger.create('text', 3).withFields({member: options.name});
const key = process.env['APRICOTLOCK_MEMBER_KEY'] ?? '';
const gate = FaultGate.create();
const counter = WorkCounter.create(options.connections, options.slots);
const store =
  options.dataFolder === undefined
    ? new MemoryMemberStore()
    : FileMemberStore.open(options.dataFolder);
const runtime = MemberRuntime.start(
  {name: options.name, database: options.database},
  store,
  options.primary,
);

// Loads the SQL parser, which must be ready before the first statement.
await StatementClassifier.create();
const address = addressOption(options.address);
const apiAddress = addressOption(options.apiAddress);

const sessionServer = createServer({noDelay: true}, socket => {
  void serveConnection(gate.wrap(socket), {
    runtime,
    timer,
    counter,
    openingMilliseconds: options.openingMilliseconds,
  });
});
sessionServer.listen(address.port, address.host);

const api = MemberApiServer.create(runtime, timer, key);
const apiListener = createServer({noDelay: true}, socket => {
  api.emit('connection', gate.wrap(socket));
});
apiListener.listen(apiAddress.port, apiAddress.host);

await serveCommands({
  listen: addressOption(options.commandAddress),
  runtime,
  counter,
  gate,
});
void replicate({runtime, timer, gate, key, logger});
void applyRecords(runtime, timer);
void announce({
  addresses: options.announceTo.map(addressOption),
  key,
  announcement: {
    name: options.name,
    database: options.database,
    dataCentre: options.dataCentre,
    address: options.announcedAddress ?? options.address,
    apiAddress: options.announcedApiAddress ?? options.apiAddress,
    incarnation: timer.wallClock(),
    capacity: {connections: options.connections, slots: options.slots},
  },
  timer,
  gate,
});
logger.info('stand-in member started', {address: options.address});

function addressOption(text: string): Address {
  return parseAddress(text).unsafeCoerce();
}
