// The wire side of a stand-in member.
import {randomBytes} from 'node:crypto';
import {createServer} from 'node:net';
import {
  setImmediate as nextTurn,
  setTimeout as sleep,
} from 'node:timers/promises';
import {line, onLines, splitWord} from './wire.mjs';

const MAXIMUM_CONNECTIONS = 16;
const MAXIMUM_WAITING = 16;

/** Accepts connections to one member. */
export class MemberServer {
  constructor(member, {handshakeMs = 12, workMs = 4} = {}) {
    Object.assign(this, {member, handshakeMs, workMs});
    this.sockets = new Set();
    this.busy = 0;
    this.waiting = [];
  }

  listen() {
    this.server = createServer({noDelay: true}, socket => this.accept(socket));
    const {host, port} = this.member;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({host, port}, resolve);
    });
  }

  close() {
    this.server?.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
    this.sockets.clear();
    for (const wake of this.waiting) wake();
    this.waiting = [];
    this.busy = 0;
  }

  accept(socket) {
    this.sockets.add(socket);
    const session = new Session(this.member, this, socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      this.sockets.delete(socket);
      session.closed = true;
    });
    let last = Promise.resolve();
    onLines(socket, text => {
      last = last.then(() => session.handle(text)).catch(() => undefined);
    });
  }

  /** Runs work in a slot; returns `undefined` if the queue is full. */
  async inSlot(work) {
    if (this.busy >= this.member.slots) {
      if (this.waiting.length >= MAXIMUM_WAITING) return undefined;
      await new Promise(resolve => this.waiting.push(resolve));
    }
    this.busy += 1;
    try {
      return await work();
    } finally {
      this.busy = Math.max(0, this.busy - 1);
      this.waiting.shift()?.();
    }
  }
}

/** One connection to a member. */
class Session {
  constructor(member, server, socket) {
    Object.assign(this, {member, server, socket});
    this.state = 'I';
    this.values = new Map();
    this.prepared = new Map();
    this.closed = false;
    this.writes = [];
  }

  /** Sends an answer unless the member can't be heard. */
  send(...lines) {
    if (this.member.dark || !this.member.running) return;
    if (this.closed) return;
    for (const each of lines) this.socket.write(each);
  }

  async handle(text) {
    // Nothing reaches a member that is dark.
    if (this.member.dark || this.closed) return;
    const [word, rest] = splitWord(text);
    if (word === 'STARTUP') return this.start(rest.split(' '));
    if (word !== 'QUERY') return this.socket.end();
    const [id, statement] = splitWord(rest);
    const {rows = [], blocks = [], end} = await this.run(id, statement);
    if (end === undefined) return;
    for (const block of blocks) {
      this.send(block);
      await nextTurn();
    }
    const answer = [...rows.map(row => line('DATAROW', row)), line(...end)];
    const position =
      this.member.role === 'primary'
        ? this.member.position
        : this.member.visiblePosition;
    this.send(...answer, line('READY', this.state, position));
  }

  async start([service, , id]) {
    const {member, server} = this;
    const wrong = service !== member.group.service;
    if (wrong || (id !== undefined && id !== member.id)) {
      this.send(line('ERROR', 'MISROUTED', member.id));
      return this.socket.end();
    }
    if (server.sockets.size > MAXIMUM_CONNECTIONS) {
      this.send(line('ERROR', 'TOOMANY', member.id));
      return this.socket.end();
    }
    await server.inSlot(() => sleep(server.handshakeMs));
    this.send(line('READY', 'I', member.visiblePosition));
  }

  async run(id, text) {
    const {member} = this;
    let [word, rest] = splitWord(text);
    let floor;
    if (word === 'AFTER') {
      [floor, rest] = splitWord(rest);
      text = rest;
      [word, rest] = splitWord(rest);
    }
    if (this.state === 'E' && word !== 'ROLLBACK' && word !== 'COMMIT') {
      return {end: ['ERROR', 'MALFORMED', 'failed transaction']};
    }
    if (floor !== undefined && isBefore(member.visiblePosition, floor)) {
      return this.error('LAGGING', {keepsState: true});
    }
    switch (word) {
      case 'SET': {
        const [name, value] = splitWord(rest);
        this.values.set(name, value);
        return done('-');
      }
      case 'PREPARE': {
        const [name, shape] = splitWord(rest);
        this.prepared.set(name, shape);
        return done('-');
      }
      case 'DEALLOC':
        this.prepared.delete(rest);
        return done('-');
      case 'DISCARD':
        this.values.clear();
        this.prepared.clear();
        return done('-');
      case 'BEGIN':
        return this.begin(rest);
      case 'ROLLBACK':
        this.endTransaction();
        return done('-');
      default:
        return this.runInSlot(id, text, word, rest);
    }
  }

  begin(rest) {
    if (rest === '' && this.member.role !== 'primary') {
      return this.error('READONLY', {keepsState: true});
    }
    this.state = 'T';
    this.readOnly = rest === 'READ';
    this.begunTerm = this.member.term;
    return done('-');
  }

  async runInSlot(id, text, word, rest) {
    const {member, server} = this;
    const isAdmin = ['STATUS', 'PAUSE', 'RESUME', 'STEPDOWN'].includes(word);
    const outcome = await server.inSlot(async () => {
      if (isAdmin) return this.administer(word, rest);
      await sleep(server.workMs);
      if (this.closed || !member.running) return {};
      if (word === 'COMMIT') return this.commit(id, text);
      return this.access(id, text, word, rest);
    });
    return outcome ?? {end: ['ERROR', 'BUSY', member.id]};
  }

  administer(word, rest) {
    const {member} = this;
    const term = Number(rest);
    if (word === 'PAUSE' && member.role === 'replica' && term > member.term) {
      member.fencedTerm = Math.max(member.fencedTerm, term);
    }
    if (word === 'RESUME') member.fencedTerm = 0;
    if (word === 'STEPDOWN' && member.term < term) member.demote();
    const {role, position, fencedTerm} = member;
    if (word !== 'STATUS') {
      member.group.record(word, {member: member.id, term: rest, role});
    }
    const row = `${role} ${member.term} ${position} ${fencedTerm} 0 0 1`;
    return {rows: [row], end: ['COMPLETE', '-']};
  }

  get lostLead() {
    const {role, term} = this.member;
    return role !== 'primary' || term !== this.begunTerm;
  }

  async access(id, text, word, rest) {
    const {member} = this;
    let access = word;
    let parameters = rest;
    let shape;
    if (word === 'EXECUTE') {
      const [name, remainder] = splitWord(rest);
      const prepared = this.prepared.get(name);
      if (prepared === undefined) return this.error('NOSTMT');
      [access, shape] = splitWord(prepared);
      parameters = remainder;
    }
    const plain = this.state === 'T' && !this.readOnly;
    if (plain && this.lostLead) return this.error('READONLY');
    const [item, data] = splitWord(parameters);
    this.note(id, text, {access, shape, item, data});
    if (access === 'READ') return this.read(item);
    const refused = member.role !== 'primary' || this.readOnly;
    if (refused) return this.error('READONLY');
    this.writes.push({item, data});
    if (this.state === 'T') return done(signature());
    return this.finish(id);
  }

  read(item) {
    const {log, visibleCount} = this.member;
    const own = this.writes.findLast(each => each.item === item);
    const stored = log
      .slice(0, visibleCount)
      .findLast(({writes}) => writes.some(each => each.item === item))
      ?.writes.findLast(each => each.item === item);
    // An item may stand for a table, which is read as any number of rows.
    const blocks = this.member.tables.get(item);
    if (blocks !== undefined) return {blocks, end: ['COMPLETE', signature()]};
    return {
      rows: [(own ?? stored)?.data ?? 'none'],
      end: ['COMPLETE', signature()],
    };
  }

  async commit(id, text) {
    if (this.state === 'E') {
      this.endTransaction();
      return {end: ['ERROR', 'ABORTED', 'failed transaction']};
    }
    if (!this.readOnly && this.lostLead && this.writes.length > 0) {
      return this.error('READONLY');
    }
    this.note(id, text, {access: 'COMMIT'});
    return this.finish(id);
  }

  /** Commits what was written. */
  async finish(id) {
    const {writes, member} = this;
    this.endTransaction();
    if (writes.length === 0) return done(signature());
    const held = await member.commit(id, writes);
    // The answer of a commit whose fate nobody knows is never sent.
    return held ? done(signature()) : {};
  }

  note(id, text, details) {
    const {member, values, state} = this;
    member.group.runs.push({
      at: Date.now(),
      id,
      text,
      member: member.id,
      log: member.log,
      visible: member.visibleCount,
      values: [...values].map(pair => pair.join('=')).join(','),
      state,
      connection: this,
      ...details,
    });
  }

  error(code, {keepsState = false} = {}) {
    if (this.state === 'T' && !keepsState) this.state = 'E';
    if (this.state === 'I') this.writes = [];
    return {end: ['ERROR', code, this.member.id]};
  }

  endTransaction() {
    this.state = 'I';
    this.readOnly = false;
    this.writes = [];
  }
}

function done(text) {
  return {end: ['COMPLETE', text]};
}

function signature() {
  return randomBytes(6).toString('hex');
}

function isBefore(position, floor) {
  const [term, number] = position.split('.').map(Number);
  const [floorTerm, floorNumber] = floor.split('.').map(Number);
  return term < floorTerm || (term === floorTerm && number < floorNumber);
}
