// Stand-in members of one database: a primary and replicas that keep logs, with
// the commands of the members' protocol.
import {createServer} from 'node:net';
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {Lines, splitWord, toBytes} from './line.mjs';
import {sleep} from './system.mjs';

const SLOTS = 2;
const HEARTBEAT_MS = 1_200;

function parsePosition(text) {
  const [term, number] = text.split('.').map(Number);
  return {term, number};
}

function compare(left, right) {
  return left.term - right.term || left.number - right.number;
}

/** The members of one service and how they replicate. */
export class Group {
  constructor(record, service, {workMs = 5, lagMs = 8, promoteMs = 600} = {}) {
    this.record = record;
    this.service = service;
    this.workMs = workMs;
    this.lagMs = lagMs;
    this.promoteMs = promoteMs;
    this.members = [];
    /** Every statement that ran: {member, id, text, at}. */
    this.runs = [];
    /** Every commit that was made: {member, id, position, at}. */
    this.commits = [];
  }

  async add(id, host, port, zone) {
    const member = new Member(this, id, host, port, zone);
    member.role = this.members.length === 0 ? 'primary' : 'replica';
    await member.listen();
    this.members.push(member);
    return member;
  }

  find(id) {
    return this.members.find(member => member.id === id);
  }

  /** The member that leads the highest term. */
  get primary() {
    return this.members
      .filter(({role, isRunning}) => role === 'primary' && isRunning)
      .sort((left, right) => right.term - left.term)[0];
  }

  /** Handles a call to promote; returns the status of the answer. */
  promote(id) {
    const chosen = this.find(id);
    if (chosen === undefined || !chosen.isRunning) return 409;
    if (chosen === this.primary) return 200;
    setTimeout(() => {
      if (!chosen.isRunning || chosen.role === 'primary') return;
      const term = Math.max(...this.members.map(each => each.term)) + 1;
      this.record.add(`members: ${chosen.id} leads term ${term}`);
      this.onPromoted?.(chosen);
      chosen.lead(term);
    }, this.promoteMs);
    return 200;
  }

  /** Starts the heartbeats of all members to the control machines. */
  startHeartbeats(system) {
    this.system = system;
    const beatAll = () => {
      for (const member of this.members) {
        if (member.isRunning) void member.sendHeartbeat(system);
      }
    };
    beatAll();
    this.beats = setInterval(beatAll, HEARTBEAT_MS);
  }

  stop() {
    clearInterval(this.beats);
    for (const member of this.members) member.crash();
  }
}

/** One member: its log, its role, its server and its replication. */
class Member {
  constructor(group, id, host, port, zone) {
    Object.assign(this, {group, id, host, port, zone});
    this.term = 1;
    this.held = 0;
    this.isRunning = true;
    /** Whether it receives nothing, as behind a broken link. */
    this.isDeaf = false;
    this.state = 'ready';
    this.log = [];
    this.sockets = new Set();
    this.seq = 0;
    this.born = Date.now();
    this.busy = 0;
    this.queue = [];
  }

  get position() {
    const {term = 1, number = 0} = this.log.at(-1) ?? {};
    return {term, number};
  }

  get positionText() {
    const {term, number} = this.position;
    return `${term}.${number}`;
  }

  async listen() {
    this.server = createServer(socket => this.accept(socket));
    const {host, port} = this;
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({host, port}, resolve);
    });
  }

  /** Ends as a process that crashes; its log stays. */
  crash() {
    if (!this.isRunning) return;
    this.isRunning = false;
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  /**
   * Starts again under its name; a new process is not held (paused). A primary
   * leads again if no other member was promoted.
   */
  async restart({keepsLog, leadsAgain = false}) {
    this.isRunning = true;
    this.held = 0;
    this.seq = 0;
    this.born = Date.now();
    const others = this.group.members.filter(other => other !== this);
    const isReplaced = others.some(({term}) => term > this.term);
    this.role = leadsAgain && !isReplaced ? 'primary' : 'replica';
    if (!keepsLog) {
      this.log = [];
      this.term = 1;
    }
    await this.listen();
    this.catchUp();
  }

  lead(term) {
    this.role = 'primary';
    this.term = term;
    this.held = 0;
    for (const other of this.group.members) {
      if (other === this || !other.isRunning) continue;
      if (other.role === 'primary') setTimeout(() => other.follow(this), 1_000);
      else other.follow(this);
    }
  }

  /** Follows a primary: cuts what that does not have, and receives the rest. */
  follow(primary) {
    if (!this.isRunning || primary.term < this.term) return;
    this.role = 'replica';
    this.held = 0;
    this.catchUp();
  }

  /** Receives what the primary has, unless it is held or receives nothing. */
  catchUp() {
    const {primary} = this.group;
    if (primary === undefined || primary === this) return;
    if (this.held > 0 || this.isDeaf || this.role === 'primary') return;
    if (primary.term < this.term) return;
    this.term = primary.term;
    this.log = [...primary.log];
    for (const waiter of primary.waiters ?? []) waiter();
  }

  async sendHeartbeat(system) {
    this.seq += 1;
    const body = JSON.stringify({
      service: this.group.service,
      addr: `${this.host}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: SLOTS,
      state: this.state,
      cold_left_ms: 0,
      db_role: this.role,
      seq: this.seq,
      born: this.born,
    });
    for (const name of ['core-1', 'core-2', 'core-3']) {
      const path = `/instances/${this.id}/heartbeat`;
      const answer = await system.callControl(name, 'POST', path, body);
      if (answer.status >= 200 && answer.status < 300) return true;
    }
    return false;
  }

  accept(socket) {
    this.sockets.add(socket);
    const lines = new Lines();
    const session = new Session(this, socket);
    let work = Promise.resolve();
    socket.on('data', chunk => {
      for (const line of lines.push(chunk)) {
        work = work.then(() => session.handle(line));
      }
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.sockets.delete(socket);
      session.isClosed = true;
    });
  }

  /** Waits for one of the slots. */
  async takeSlot() {
    if (this.busy < SLOTS) {
      this.busy += 1;
      return;
    }
    await new Promise(resolve => this.queue.push(resolve));
  }

  freeSlot() {
    const next = this.queue.shift();
    if (next === undefined) this.busy -= 1;
    else next();
  }

  /**
   * Appends writes to the log and resolves once one replica has received them;
   * resolves to `false` if this member ends before.
   */
  async commit(id, writes) {
    if (writes.length === 0) return true;
    const number = this.position.number + 1;
    const entry = {term: this.term, number, id, writes};
    this.log.push(entry);
    const {group} = this;
    group.commits.push({
      member: this.id,
      id,
      position: {term: this.term, number},
    });
    group.record.add(`${this.id}: commits ${id} at ${this.term}.${number}`);
    setTimeout(() => {
      for (const other of group.members) {
        if (other !== this && other.isRunning) other.receiveFrom(this);
      }
    }, group.lagMs);
    this.waiters ??= new Set();
    return new Promise(resolve => {
      const check = () => {
        const isReceived = group.members.some(
          other => other !== this && other.log.includes(entry),
        );
        if (!isReceived && this.isRunning) return;
        this.waiters.delete(check);
        resolve(isReceived);
      };
      this.waiters.add(check);
      check();
    });
  }

  receiveFrom(primary) {
    if (primary.term < this.term || primary.role !== 'primary') return;
    this.catchUp();
  }

  /** Answers the commands of the protocol that manage members. */
  administer(word, rest) {
    const {record} = this.group;
    if (word === 'PAUSE') {
      if (this.role === 'replica' && Number(rest) > this.term) {
        this.held = Number(rest);
      }
      record.add(`${this.id}: PAUSE ${rest}, at ${this.positionText}`);
    } else if (word === 'RESUME') {
      this.held = 0;
      record.add(`${this.id}: RESUME`);
      setTimeout(() => this.catchUp(), this.group.lagMs);
    } else if (word === 'STEPDOWN') {
      if (this.role === 'primary' && Number(rest) > this.term) {
        this.role = 'replica';
        this.term = Number(rest);
        setTimeout(() => this.catchUp(), this.group.lagMs);
      }
      record.add(`${this.id}: STEPDOWN ${rest}`);
    }
    const {role, term, positionText, held, busy, sockets} = this;
    const row = [role, term, positionText, held, 0, busy, sockets.size];
    return `DATAROW ${row.join(' ')}\r\nCOMPLETE -\r\n`;
  }
}

/** A connection to a member. */
class Session {
  constructor(member, socket) {
    this.member = member;
    this.socket = socket;
    this.state = 'I';
    this.isClosed = false;
    this.values = new Map();
    this.prepared = new Map();
  }

  async handle(line) {
    const [word, rest] = splitWord(line);
    if (word === 'STARTUP') return this.start(rest);
    if (word !== 'QUERY') return;
    const [id, text] = splitWord(rest);
    const answer = await this.query(id, text);
    if (this.isClosed || answer === undefined) return;
    const {positionText} = this.member;
    this.socket.write(
      toBytes(`${answer}READY ${this.state} ${positionText}\r\n`),
    );
  }

  start(rest) {
    const [service, others] = splitWord(rest);
    const [, id] = splitWord(others);
    const {member} = this;
    const isExpected = id === '' || id === member.id;
    if (service === member.group.service && isExpected) {
      this.socket.write(toBytes(`READY I ${member.positionText}\r\n`));
    } else this.socket.end(toBytes(`ERROR MISROUTED ${member.id}\r\n`));
  }

  async query(id, text) {
    const {member} = this;
    let [word, rest] = splitWord(text);
    if (word === 'AFTER') {
      const [position, statement] = splitWord(rest);
      if (compare(member.position, parsePosition(position)) < 0) {
        return `ERROR LAGGING ${position}\r\n`;
      }
      [word, rest] = splitWord(statement);
    }
    switch (word) {
      case 'BEGIN':
        if (rest !== 'READ' && member.role !== 'primary') {
          return `ERROR READONLY ${member.id}\r\n`;
        }
        this.state = 'T';
        this.readOnly = rest === 'READ';
        this.writes = [];
        return 'COMPLETE -\r\n';
      case 'ROLLBACK':
        this.state = 'I';
        return 'COMPLETE -\r\n';
      case 'SET':
        this.values.set(...splitWord(rest));
        return 'COMPLETE -\r\n';
      case 'PREPARE': {
        const [name, access] = rest.split(' ');
        this.prepared.set(name, access);
        return 'COMPLETE -\r\n';
      }
      case 'DISCARD':
        this.values.clear();
        this.prepared.clear();
        return 'COMPLETE -\r\n';
      case 'EXECUTE': {
        const [name, parameters] = splitWord(rest);
        const access = this.prepared.get(name);
        if (access === undefined) return `ERROR NOSTMT ${name}\r\n`;
        return this.run(id, text, access, parameters);
      }
      case 'READ':
      case 'WRITE':
      case 'COMMIT':
        return this.run(id, text, word, rest);
      default:
        return member.administer(word, rest);
    }
  }

  async run(id, text, word, rest) {
    const {member} = this;
    const {group} = member;
    const wrote = this.state === 'T' && this.writes.length > 0;
    const needsPrimary =
      word === 'WRITE' || (this.state === 'T' && !this.readOnly);
    const mayEnd = word === 'COMMIT' && !wrote;
    if (needsPrimary && member.role !== 'primary' && !mayEnd) {
      if (this.state === 'T') this.state = 'E';
      return `ERROR READONLY ${member.id}\r\n`;
    }
    await member.takeSlot();
    try {
      await sleep(group.workMs);
      if (this.isClosed || !member.isRunning) return undefined;
      group.runs.push({
        member: member.id,
        id,
        text,
        at: Date.now(),
        position: member.position,
      });
      group.record.add(
        `${member.id}: runs ${id} ${text} at ${member.positionText}`,
      );
      const [item, data] = splitWord(rest);
      const signature = `COMPLETE ${member.id}.${id}\r\n`;
      if (word === 'READ') {
        const found = member.log
          .flatMap(({writes}) => writes)
          .findLast(write => write.item === item);
        return `DATAROW ${found?.data ?? 'none'}\r\n${signature}`;
      }
      if (word === 'WRITE' && this.state === 'T') {
        this.writes.push({item, data});
        return signature;
      }
      const writes = word === 'COMMIT' ? this.writes : [{item, data}];
      this.state = 'I';
      const isCommitted = await member.commit(id, writes);
      return isCommitted ? signature : undefined;
    } finally {
      member.freeSlot();
    }
  }
}
