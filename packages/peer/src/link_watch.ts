import {WebSocket} from 'ws';
import {TimerService, Unsubscribe} from '@apricotlock/timer';

const PING_PERIOD_MILLISECONDS = 400;
const SILENCE_LIMIT_MILLISECONDS = 1_200;

/** What a link is watched for. */
export interface LinkWatchOptions {
  readonly socket: WebSocket;
  readonly timer: TimerService;
  /** Whether something is under way on the link. */
  readonly busy: () => boolean;
  /** Whether this side asks for a sign of life; the other side then hears it. */
  readonly pings: boolean;
}

/**
 * Ends a socket on which nothing has come for too long while something is
 * under way: something between the two ends may have lost track of it while
 * new connections work. Idle links are left in peace, since at many VMs most
 * links are idle.
 */
export function watchForSilence(options: LinkWatchOptions): Unsubscribe {
  const {socket, timer, busy, pings} = options;
  let heardAt = timer.now();
  const heard = () => {
    heardAt = timer.now();
  };
  socket.on('message', heard);
  socket.on('pong', heard);
  socket.on('ping', heard);
  return timer.every(PING_PERIOD_MILLISECONDS, () => {
    if (!busy()) heard();
    const silence = timer.now() - heardAt;
    if (silence > SILENCE_LIMIT_MILLISECONDS) socket.terminate();
    else if (!pings || silence < PING_PERIOD_MILLISECONDS / 2) return;
    else if (socket.readyState === WebSocket.OPEN) socket.ping();
  });
}
