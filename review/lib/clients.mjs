// Clients of the line protocol, and what they were answered.
import {randomBytes} from 'node:crypto';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {line, onLines, splitWord} from './wire.mjs';

const START_MS = 2_000;

/** One session of a client. */
export class Session {
  constructor(address, database) {
    this.lines = [];
    this.closed = false;
    this.socket = connect({...address, noDelay: true});
    onLines(this.socket, text => {
      this.lines.push(text);
      this.wake?.();
    });
    const finish = () => {
      this.closed = true;
      this.wake?.();
    };
    this.socket.on('error', finish);
    this.socket.on('end', finish);
    this.socket.on('close', finish);
    this.socket.write(line('STARTUP', database, 'u1'));
  }

  /** Opens a session; `undefined` if it isn't ready in time. */
  static async open(address, database) {
    const session = new Session(address, database);
    const first = await session.next(Date.now() + START_MS);
    if (first?.startsWith('READY')) return session;
    session.close();
    return undefined;
  }

  async next(deadline) {
    while (this.lines.length === 0) {
      const left = deadline - Date.now();
      if (this.closed || left <= 0) return undefined;
      const woken = new Promise(resolve => (this.wake = resolve));
      await Promise.race([woken, sleep(left, undefined, {ref: false})]);
    }
    return this.lines.shift();
  }

  /** Sends one statement; `end` is undefined if no whole answer came. */
  async query(text, timeoutMs = 3_000) {
    const id = randomBytes(8).toString('hex');
    const sentAt = Date.now();
    this.socket.write(line('QUERY', id, text));
    const rows = [];
    let end;
    for (;;) {
      const received = await this.next(sentAt + timeoutMs);
      if (received === undefined) {
        const {closed} = this;
        return {id, text, sentAt, rows, closed, endedAt: Date.now()};
      }
      const [word, rest] = splitWord(received);
      if (word === 'DATAROW') rows.push(rest);
      else if (word === 'READY') {
        const answeredAt = Date.now();
        const [state, position] = rest.split(' ');
        return {id, text, sentAt, answeredAt, rows, end, state, position};
      } else end = received;
    }
  }

  close() {
    this.socket.destroy();
  }
}

/** Whether an answer is a success of a member. */
export function succeeded({end}) {
  return end !== undefined && end.startsWith('COMPLETE');
}

const PROMISES = /^ERROR (BUSY|ABORTED|LAGGING|READONLY|MISROUTED|TOOMANY)\b/;

/** Whether an answer promises that nothing of the attempt is kept. */
export function isPromise({end}) {
  return end !== undefined && PROMISES.test(end);
}
