// The operator's first configuration has version 0.
import process from 'node:process';
import {fileURLToPath, URL} from 'node:url';
import {
  configuration,
  EXIT_BROKEN,
  EXIT_HELD,
  EXIT_NOT_RUN,
  Record,
  sleep,
  System,
} from '../lib-2/system.mjs';

const START_MS = 20_000;
/** Longer than `config_apply_ms` (3 s) and `stable_window_ms` (4 s) together. */
const READ_MS = 15_000;
const POLL_MS = 250;
const MACHINES = ['core-1', 'core-2', 'core-3'];

const version = process.env.TROUBLE === '0' ? 1 : 0;
const record = new Record(
  fileURLToPath(new URL('record.txt', import.meta.url)),
);
const system = new System(record, 1);

/** Sends the configuration until a machine answers with 200 or refuses it. */
async function sendConfiguration() {
  const deadline = Date.now() + START_MS;
  for (let turn = 0; Date.now() < deadline; turn++) {
    const name = MACHINES[turn % MACHINES.length];
    const body = configuration(version);
    const answer = await system.callControl(
      name,
      'POST',
      '/config/replace',
      body,
    );
    record.add(`operator: version ${version} to ${name}: ${answer.status}`);
    if (answer.status === 200) return 'acknowledged';
    if (answer.status >= 400 && answer.status < 500) return 'refused';
    await sleep(POLL_MS);
  }
  throw new Error('no clear answer to the first configuration');
}

/** Resolves to whether what was acknowledged can be read at any machine. */
async function canBeRead() {
  const deadline = Date.now() + READ_MS;
  while (Date.now() < deadline) {
    for (const name of MACHINES) {
      const answer = await system.callControl(name, 'GET', '/config/get');
      record.add(`operator: reads at ${name}: ${answer.status}`);
      const isSent =
        answer.status === 200 && JSON.parse(answer.body).version === version;
      if (isSent) return true;
    }
    await sleep(POLL_MS);
  }
  return false;
}

async function run() {
  await system.choosePorts();
  await system.startPlatform();
  system.startAll();
  const outcome = await sendConfiguration();
  // A refusal would be clear, and is not judged here.
  const holds = outcome === 'refused' || (await canBeRead());
  record.add(`result: ${outcome}, rule held ${holds}`);
  return holds ? EXIT_HELD : EXIT_BROKEN;
}

let code = EXIT_NOT_RUN;
try {
  code = await run();
} catch (failure) {
  record.add(`the case could not run: ${String(failure)}`);
}
await system.stop();
process.exit(code);
