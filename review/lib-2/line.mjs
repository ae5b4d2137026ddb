// The line protocol of clients and members.
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {clearTimeout, setTimeout} from 'node:timers';

/** Splits a stream of bytes into lines; a character stands for a byte. */
export class Lines {
  constructor() {
    this.rest = '';
  }

  push(chunk) {
    const parts = (this.rest + chunk.toString('latin1')).split('\r\n');
    this.rest = parts.pop();
    return parts;
  }
}

export function splitWord(text) {
  const index = text.indexOf(' ');
  return index < 0 ? [text, ''] : [text.slice(0, index), text.slice(index + 1)];
}

export function toBytes(text) {
  return Buffer.from(text, 'latin1');
}

let clientCount = 0;

/** A client's session, one request at a time. */
export class Client {
  constructor(record, host, port) {
    clientCount += 1;
    this.name = `client-${clientCount}`;
    this.record = record;
    this.requestCount = 0;
    this.received = [];
    this.isClosed = false;
    this.wake = () => undefined;
    const lines = new Lines();
    this.socket = connect({host, port, noDelay: true});
    this.socket.on('data', chunk => {
      this.received.push(...lines.push(chunk));
      this.wake();
    });
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => {
      this.isClosed = true;
      this.wake();
    });
  }

  /** Opens a session; resolves to it, or to `undefined` without READY. */
  static async open(record, host, port, database) {
    const client = new Client(record, host, port);
    client.socket.write(toBytes(`STARTUP ${database} ${client.name}\r\n`));
    const line = await client.nextLine(2_000);
    record.add(`${client.name}: STARTUP ${database} at ${host}: ${line}`);
    if (line?.startsWith('READY')) return client;
    client.close();
    return undefined;
  }

  /** Resolves to the next line, `undefined` at the end or after the time. */
  async nextLine(milliseconds) {
    const deadline = Date.now() + milliseconds;
    while (this.received.length === 0) {
      const left = deadline - Date.now();
      if (this.isClosed || left <= 0) return undefined;
      await new Promise(resolve => {
        const timer = setTimeout(resolve, left);
        this.wake = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
    return this.received.shift();
  }

  /** Sends a request; resolves to the rows, the end and the READY line. */
  async query(text, milliseconds = 10_000) {
    this.requestCount += 1;
    const id = `${this.name}-${this.requestCount}`;
    const sentAt = Date.now();
    this.record.add(`${this.name}: sends ${id} ${text}`);
    this.socket.write(toBytes(`QUERY ${id} ${text}\r\n`));
    const rows = [];
    let end;
    for (;;) {
      const line = await this.nextLine(milliseconds);
      if (line === undefined) break;
      const [word, rest] = splitWord(line);
      if (word === 'DATAROW') rows.push(rest);
      else if (word === 'READY') {
        this.record.add(
          `${this.name}: ${id} answered ${rows.join(' ')} ${end} READY ${rest}`,
        );
        return {id, sentAt, answeredAt: Date.now(), rows, end, ready: rest};
      } else end = line;
    }
    this.record.add(`${this.name}: ${id} not answered`);
    return {id, sentAt, answeredAt: Date.now(), rows, end: undefined};
  }

  close() {
    this.socket.destroy();
  }
}
