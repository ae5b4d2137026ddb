import {createServer, IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';
import {statusToJson} from '@apricotlock/member';
import {Address} from '@apricotlock/topology';
import {FaultGate} from './fault_gate.js';
import {readJson} from './member_api_server.js';
import {MemberRuntime} from './member_runtime.js';
import {WorkCounter} from './work_counter.js';

const delaysSchema = z.strictObject({
  receive: z.number().min(0).optional(),
  apply: z.number().min(0).optional(),
  statement: z.number().min(0).optional(),
});

/** Options of {@link serveCommands}. */
export interface CommandOptions {
  readonly listen: Address;
  readonly runtime: MemberRuntime;
  readonly counter: WorkCounter;
  readonly gate: FaultGate;
}

/**
 * Serves the HTTP commands by which tests and demonstrations inject faults:
 *
 * - `POST /kill` kills the process.
 * - `POST /cut` isolates the member from the network; `POST /heal` ends that.
 * - `POST /forget` silences all open connections permanently.
 * - `POST /slow` sets simulated delays, in milliseconds.
 * - `GET /state` changes nothing.
 *
 * Each response has the member's status, work counts and network state.
 */
export async function serveCommands(options: CommandOptions): Promise<void> {
  const server = createServer((incoming, response) => {
    void handleRequest(incoming, response, options);
  });
  const {host, port} = options.listen;
  await new Promise<void>(resolve => server.listen(port, host, resolve));
}

async function handleRequest(
  incoming: IncomingMessage,
  response: ServerResponse,
  options: CommandOptions,
): Promise<void> {
  const succeeded = await runCommand(incoming, options).catch(() => false);
  response.writeHead(succeeded ? 200 : 400, {
    'content-type': 'application/json',
  });
  response.end(
    JSON.stringify({
      status: statusToJson(options.runtime.status.current),
      counts: options.counter.current,
      gate: options.gate.current,
    }),
  );
}

async function runCommand(
  incoming: IncomingMessage,
  options: CommandOptions,
): Promise<boolean> {
  const {gate, runtime} = options;
  switch (`${incoming.method} ${incoming.url}`) {
    case 'POST /kill':
      process.kill(process.pid, 'SIGKILL');
      return true;
    case 'POST /cut':
      gate.set('held');
      return true;
    case 'POST /heal':
      gate.set('open');
      return true;
    case 'POST /forget':
      gate.silenceConnections();
      return true;
    case 'POST /slow': {
      const delays = delaysSchema.parse(await readJson(incoming));
      runtime.delays = {...runtime.delays, ...delays};
      return true;
    }
    case 'GET /state':
      return true;
    default:
      return false;
  }
}
