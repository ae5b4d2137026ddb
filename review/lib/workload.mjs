// Clients that work all the time, each with at most one statement under way,
// and that record each attempt.
import {randomBytes} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {Session, isPromise, succeeded} from './clients.mjs';

const ITEMS = 20;

/** Runs clients against the entry machines of a system. */
export class Workload {
  constructor(system, {pauseMs = 40} = {}) {
    Object.assign(this, {system, pauseMs});
    /** Each statement of each attempt, with its answer. */
    this.statements = [];
    /** Writes whose effect was acknowledged: id of the write or its COMMIT. */
    this.attempts = [];
    this.stopping = false;
    this.tasks = [];
  }

  /** Starts clients of one route at one entry machine. */
  start(
    entry,
    service,
    kind,
    {count = 1, writes = 0.5, transactions = 0.3} = {},
  ) {
    for (let index = 0; index < count; index++) {
      const client = {entry, service, kind, writes, transactions};
      this.tasks.push(this.run(client));
    }
  }

  async stop() {
    this.stopping = true;
    await Promise.all(this.tasks);
  }

  async run(client) {
    const database = `${client.service}-${client.kind}`;
    while (!this.stopping) {
      const address = this.system.entryAddress(client.entry);
      const session = await Session.open(address, database);
      if (session === undefined) {
        await sleep(100);
        continue;
      }
      session.name = randomBytes(4).toString('hex');
      const value = randomBytes(3).toString('hex');
      session.value = value;
      const set = await this.query(session, client, `SET v ${value}`);
      if (!succeeded(set)) session.close();
      while (!this.stopping && !session.closed) {
        if (!(await this.operate(session, client))) break;
        await sleep(this.pauseMs * (0.5 + Math.random()));
      }
      session.close();
    }
  }

  async query(session, client, text) {
    const {service, kind, entry} = client;
    const placed = {service, kind, entry, session: session.name, text};
    const statement = {...placed, value: session.value, sentAt: Date.now()};
    this.statements.push(statement);
    const answer = await session.query(text);
    Object.assign(statement, answer);
    if (!succeeded(answer)) {
      const {id, end = 'no answer'} = answer;
      this.system.record('client', {id, entry, kind, text, end});
    }
    return statement;
  }

  /** Runs one operation; returns whether the session may go on. */
  async operate(session, client) {
    const isTransaction = Math.random() < client.transactions;
    const texts = [this.text(client)];
    if (isTransaction) texts.push(this.text(client));
    const writes = texts.some(text => text.startsWith('WRITE'));
    const attempt = {client, commitIds: [], texts, outcome: 'open'};
    this.attempts.push(attempt);
    const sent = isTransaction
      ? [writes || client.kind === 'primary' ? 'BEGIN' : 'BEGIN READ']
      : [];
    sent.push(...texts, ...(isTransaction ? ['COMMIT'] : []));
    const firstAt = Date.now();
    let last;
    for (const text of sent) {
      const query = this.query(session, client, text);
      last = this.statements.at(-1);
      last.transactionAt = isTransaction ? firstAt : undefined;
      await query;
      const isCommit = isTransaction ? text === 'COMMIT' : writes;
      if (isCommit) attempt.commitIds.push(last.id);
      if (!succeeded(last)) break;
    }
    attempt.outcome = outcomeOf(last);
    attempt.answeredAt = last.answeredAt;
    attempt.writes = writes;
    return succeeded(last) && last.state === 'I';
  }

  text({writes}) {
    const item = `k${Math.floor(Math.random() * ITEMS)}`;
    return Math.random() < writes
      ? `WRITE ${item} ${randomBytes(5).toString('hex')}`
      : `READ ${item}`;
  }
}

function outcomeOf(last) {
  if (succeeded(last)) return 'acknowledged';
  return isPromise(last) ? 'promised' : 'unknown';
}
