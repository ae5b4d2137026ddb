// Stand-in members of one database service. They keep to PROTOCOL.md: slots, a
// log with terms, replicas that receive and apply it, PAUSE, RESUME, STEPDOWN
// and promotions. Where the page is silent they behave like a sound server.
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {MemberServer} from './member_server.mjs';

const NETWORK_MS = 1;
const PUMP_MS = 3;
/** The old primary goes on for this long once it can reach the new one. */
const OLD_PRIMARY_MS = 1_000;

/** One service: its members, who can reach whom, and its promotions. */
export class Group {
  constructor(service, {promoteMs = 600, sync = 1, lagMs = 8, record}) {
    Object.assign(this, {service, promoteMs, sync, lagMs, record});
    this.members = [];
    /** Statements that members ran for clients, in order. */
    this.runs = [];
    /** All commits, also those that were rolled back. */
    this.commits = [];
    /** Promotions that took effect, each with the log that the member had. */
    this.promotions = [];
    this.pumpTimer = setInterval(() => this.pump(), PUMP_MS);
  }

  async add(id, host, port, options = {}) {
    const member = new Member(this, id, host, port, options);
    member.role = this.members.length === 0 ? 'primary' : 'replica';
    this.members.push(member);
    await member.server.listen();
    return member;
  }

  get highestTerm() {
    return Math.max(...this.members.map(({term}) => term));
  }

  /** The member that leads the highest term, running or not. */
  get leader() {
    return this.members.findLast(
      ({role, term}) => role === 'primary' && term === this.highestTerm,
    );
  }

  /** Whether two members can reach each other. */
  linked(left, right) {
    const cut = left.cutFrom.has(right.id) || right.cutFrom.has(left.id);
    return left.running && right.running && !cut && !left.dark && !right.dark;
  }

  /** The platform's call; returns its HTTP status. */
  promote(id) {
    const member = this.members.find(each => each.id === id);
    if (member === undefined || !member.running) return 409;
    if (member === this.leader) return 200;
    setTimeout(() => this.completePromotion(member), this.promoteMs);
    return 200;
  }

  completePromotion(member) {
    if (!member.running || member === this.leader) return;
    member.term = this.highestTerm + 1;
    member.role = 'primary';
    for (const each of this.members) each.fencedTerm = 0;
    this.promotions.push({
      at: Date.now(),
      id: member.id,
      term: member.term,
      log: [...member.log],
    });
    this.record('promotion took effect', {
      service: this.service,
      member: member.id,
      term: member.term,
      log: member.log.length,
    });
    this.onPromoted?.(member);
  }

  /** Ships the logs of primaries to their replicas. */
  pump() {
    for (const primary of this.members) {
      if (primary.role !== 'primary' || !primary.running) continue;
      for (const other of this.members) {
        if (other === primary || !this.linked(primary, other)) continue;
        if (other.role === 'primary') this.demoteLater(other, primary);
        else if (other.term <= primary.term && other.fencedTerm === 0) {
          other.follow(primary);
        }
      }
      primary.answerHeldCommits();
    }
  }

  demoteLater(old, primary) {
    if (old.term >= primary.term) return;
    old.demoteAt ??= Date.now() + OLD_PRIMARY_MS;
    if (Date.now() >= old.demoteAt) old.demote();
  }

  stop() {
    clearInterval(this.pumpTimer);
    for (const member of this.members) member.server.close();
  }
}

/** One member: its log, its role and its server. */
export class Member {
  constructor(group, id, host, port, {zone = 'za', slots = 2, born} = {}) {
    Object.assign(this, {group, id, host, port, zone, slots});
    this.born = born ?? Date.now();
    this.term = 1;
    this.fencedTerm = 0;
    this.running = true;
    this.dark = false;
    this.state = 'ready';
    this.sequence = 0;
    this.cutFrom = new Set();
    this.held = [];
    /** Tables by name, each as blocks of lines with its rows. */
    this.tables = new Map();
    this.log = [];
    this.server = new MemberServer(this);
  }

  get position() {
    return positionOf(this.log.at(-1), this.term);
  }

  /** How many records of the log reads on this member see. */
  get visibleCount() {
    if (this.role === 'primary') return this.log.length;
    const before = Date.now() - this.group.lagMs;
    let count = this.log.length;
    while (count > 0 && this.log[count - 1].receivedAt[this.id] > before) {
      count -= 1;
    }
    return count;
  }

  get visiblePosition() {
    return positionOf(this.log[this.visibleCount - 1], this.term);
  }

  /** Receives what a primary holds; rolls back what it doesn't. */
  follow(primary) {
    let common = Math.min(this.log.length, primary.log.length);
    while (common > 0 && this.log[common - 1] !== primary.log[common - 1]) {
      common -= 1;
    }
    if (common < this.log.length) {
      this.group.record('rolled back', {
        member: this.id,
        records: this.log.length - common,
      });
      this.log = this.log.slice(0, common);
    }
    this.term = primary.term;
    const ready = Date.now() - NETWORK_MS;
    for (const record of primary.log.slice(common)) {
      if (record.at > ready) break;
      record.receivedAt[this.id] = Date.now();
      this.log.push(record);
    }
  }

  /** Appends a commit; resolves once enough replicas have received it. */
  commit(id, writes) {
    const {group} = this;
    const record = {
      id,
      writes,
      term: this.term,
      number: (this.log.at(-1)?.number ?? 0) + 1,
      at: Date.now(),
      member: this.id,
      // Whether a member of a later term led when this one committed.
      stale: group.highestTerm > this.term,
      receivedAt: {[this.id]: Date.now()},
    };
    this.log.push(record);
    group.commits.push(record);
    if (group.sync === 0) return Promise.resolve(true);
    return new Promise(resolve => this.held.push({record, resolve}));
  }

  answerHeldCommits() {
    const {members, sync} = this.group;
    const isHeld = ({record}) =>
      members.filter(each => each !== this && each.log.includes(record))
        .length < sync;
    const done = this.held.filter(each => !isHeld(each));
    this.held = this.held.filter(isHeld);
    for (const {resolve} of done) resolve(true);
  }

  demote() {
    if (this.role === 'replica') return;
    this.role = 'replica';
    this.demoteAt = undefined;
    // Nobody learns how commits that no replica received have ended.
    for (const {resolve} of this.held) resolve(false);
    this.held = [];
    this.group.record('primary became a replica', {member: this.id});
  }

  /** Ends the process: connections are reset, the log is kept. */
  crash() {
    this.running = false;
    for (const {resolve} of this.held) resolve(false);
    this.held = [];
    this.server.close();
    this.group.record('member crashed', {member: this.id, role: this.role});
  }

  /** Starts again: as a replica if another member was promoted meanwhile. */
  async restart() {
    this.fencedTerm = 0;
    if (this.group.leader !== this) this.role = 'replica';
    this.running = true;
    this.born = Date.now();
    this.sequence = 0;
    await this.server.listen();
    this.group.record('member restarted', {member: this.id, role: this.role});
  }
}

export function positionOf(record, term) {
  return record === undefined ? `${term}.0` : `${record.term}.${record.number}`;
}
