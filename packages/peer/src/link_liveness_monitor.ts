import {WebSocket} from 'ws';
import {TimerService, Unsubscribe} from '@apricotlock/timer';

/** Each interval, a silent link is pinged, or terminated after the timeout. */
const PING_INTERVAL_MILLISECONDS = 400;
const SILENCE_TIMEOUT_MILLISECONDS = 1_200;

/** Options of {@link monitorLinkLiveness}. */
export interface LivenessMonitorOptions {
  readonly socket: WebSocket;
  readonly timer: TimerService;
  /** Returns whether calls or conversations are open on the link. */
  readonly isBusy: () => boolean;
  /**
   * Whether this side sends pings. The other side needs none of its own, since
   * each ping shows it that the link is alive.
   */
  readonly sendsPings: boolean;
}

/**
 * Terminates a socket that has received nothing for the timeout while the link
 * is busy. A device between the two sides may have lost the state of this
 * connection while new connections work. Idle links are not pinged, since with
 * many VMs most links are idle. Returns a function that stops the monitor.
 */
export function monitorLinkLiveness(
  options: LivenessMonitorOptions,
): Unsubscribe {
  const {socket, timer, isBusy, sendsPings} = options;
  let lastReceivedAt = timer.now();
  const recordReceipt = () => {
    lastReceivedAt = timer.now();
  };
  socket.on('message', recordReceipt);
  socket.on('pong', recordReceipt);
  socket.on('ping', recordReceipt);
  return timer.every(PING_INTERVAL_MILLISECONDS, () => {
    if (!isBusy()) recordReceipt();
    const silence = timer.now() - lastReceivedAt;
    if (silence > SILENCE_TIMEOUT_MILLISECONDS) socket.terminate();
    else if (!sendsPings || silence < PING_INTERVAL_MILLISECONDS / 2) return;
    else if (socket.readyState === WebSocket.OPEN) socket.ping();
  });
}
