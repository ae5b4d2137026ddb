import {request} from 'node:http';
import {TimerService} from '@apricotlock/timer';
import {Address} from '@apricotlock/topology';
import {FaultGate} from './fault_gate.js';

const PERIOD_MILLISECONDS = 500;
const REQUEST_TIMEOUT_MILLISECONDS = 1_000;

/** What a member needs to make itself known. */
export interface AnnouncerOptions {
  /** The balancer's addresses; each announcement goes to the next of them. */
  readonly addresses: readonly Address[];
  readonly key: string;
  readonly announcement: object;
  readonly timer: TimerService;
  readonly gate: FaultGate;
}

/** Makes the member known to one entry VM after another, for ever. */
export async function announce(options: AnnouncerOptions): Promise<void> {
  const {addresses, timer, gate} = options;
  for (let turn = 0; addresses.length > 0; turn++) {
    await gate.opened();
    send(addresses[turn % addresses.length] as Address, options);
    await timer.sleep(PERIOD_MILLISECONDS);
  }
}

function send(to: Address, options: AnnouncerOptions): void {
  const outgoing = request({
    host: to.host,
    port: to.port,
    path: '/v1/announcements',
    method: 'POST',
    timeout: REQUEST_TIMEOUT_MILLISECONDS,
    headers: {
      authorization: `Bearer ${options.key}`,
      'content-type': 'application/json',
    },
  });
  outgoing.on('response', response => response.resume());
  outgoing.on('timeout', () => outgoing.destroy());
  outgoing.on('error', () => outgoing.destroy());
  outgoing.end(JSON.stringify(options.announcement));
}
