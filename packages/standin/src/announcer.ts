import {request} from 'node:http';
import {TimerService} from '@apricotlock/timer';
import {Address} from '@apricotlock/topology';
import {FaultGate} from './fault_gate.js';

/** One announcement is sent to one address per interval. */
const ANNOUNCEMENT_INTERVAL_MILLISECONDS = 500;
const REQUEST_TIMEOUT_MILLISECONDS = 1_000;

/** Options of {@link announce}. */
export interface AnnouncerOptions {
  /** Addresses of the balancer, used in round robin. */
  readonly addresses: readonly Address[];
  readonly key: string;
  readonly announcement: object;
  readonly timer: TimerService;
  readonly gate: FaultGate;
}

/**
 * Announces the member to the entry VMs periodically, in round robin. Sends
 * nothing while the fault gate holds back bytes.
 */
export async function announce(options: AnnouncerOptions): Promise<void> {
  const {addresses, timer, gate} = options;
  for (let attempt = 0; addresses.length > 0; attempt++) {
    await gate.waitUntilOpen();
    sendAnnouncement(addresses[attempt % addresses.length] as Address, options);
    await timer.sleep(ANNOUNCEMENT_INTERVAL_MILLISECONDS);
  }
}

function sendAnnouncement(target: Address, options: AnnouncerOptions): void {
  const outgoing = request({
    host: target.host,
    port: target.port,
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
