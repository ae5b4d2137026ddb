import {Observable} from '@apricotlock/flow';
import {MemberRole, MemberStatus} from '@apricotlock/member';
import {Position} from '@apricotlock/session';
import {Change, LogRecord} from './change.js';
import {Database} from './database.js';
import {MemberStore, StoredTerms} from './member_store.js';

/** The primary from which a replica fetches the log, and its term. */
export interface LogSource {
  readonly term: number;
  readonly host: string;
  readonly port: number;
}

/** Simulated delays of a member, in milliseconds. */
export interface MemberDelays {
  /** Time from the primary's commit until a replica has stored the record. */
  readonly receive: number;
  /** Time from storing a record until it is visible to reads. */
  readonly apply: number;
  /** Time for which each statement occupies its slot. */
  readonly statement: number;
}

/** A primary's history that a replica has started to adopt. */
interface HistoryAdoption {
  readonly source: LogSource;
  /** End of the primary's log when the replica compared the two logs. */
  readonly completeAt: Position;
}

/** The names of a member and of its database. */
export interface MemberIdentity {
  readonly name: string;
  readonly database: string;
}

/** Holds the terms, role and data of a member and enforces how they change. */
export class MemberRuntime {
  readonly database = Database.create();
  readonly status: Observable<MemberStatus>;
  readonly source = Observable.of<LogSource | undefined>(undefined);
  /** Incremented whenever all sessions must end, as on a change of role. */
  readonly terminations = Observable.of(0);
  delays: MemberDelays = {receive: 0, apply: 0, statement: 0};
  private pendingAdoption: HistoryAdoption | undefined;
  private terms: StoredTerms;
  private role: MemberRole;

  private constructor(
    private readonly identity: MemberIdentity,
    private readonly store: MemberStore,
    startAsPrimary: boolean,
  ) {
    this.terms = store.loadTerms() ?? initialTerms(startAsPrimary);
    const records = store.loadRecords();
    for (const record of records) this.database.log.receive(record);
    this.database.applyAll();
    // After a restart a member cannot know whether it was replaced as primary.
    const isNew = !store.hasHistory;
    this.role = startAsPrimary && isNew ? 'primary' : 'replica';
    store.saveTerms(this.terms);
    this.status = Observable.of(this.buildStatus());
  }

  /** Starts a member with the data in `store`. */
  static start(
    identity: MemberIdentity,
    store: MemberStore,
    startAsPrimary: boolean,
  ): MemberRuntime {
    return new MemberRuntime(identity, store, startAsPrimary);
  }

  /**
   * Whether the member may commit: it is the primary and was not fenced for a
   * later term.
   */
  get isActivePrimary(): boolean {
    return this.role === 'primary' && this.terms.fencedTerm === this.terms.term;
  }

  /** The term of the member's log. */
  get term(): number {
    return this.terms.term;
  }

  /** Logs a transaction whose changes the tables already contain. */
  commit(changes: readonly Change[]): LogRecord {
    const record = this.database.commit(this.terms.term, changes);
    this.store.append(record);
    this.publishStatus();
    return record;
  }

  /**
   * Refuses every term before `term` from now on, which ends the sessions of a
   * primary. Returns `false` if the member was fenced for a later term.
   */
  fence(term: number): boolean {
    if (term < this.terms.fencedTerm) return false;
    if (term === this.terms.fencedTerm) return true;
    this.setTerms({...this.terms, fencedTerm: term});
    this.source.set(undefined);
    if (this.role === 'primary') this.terminateSessions();
    this.publishStatus();
    return true;
  }

  /**
   * Becomes the primary of `term` with all records that it holds. Returns
   * `false` if the member was not last fenced for `term`, or if it is already a
   * replica of that term.
   */
  promote(term: number): boolean {
    if (term !== this.terms.fencedTerm) return false;
    if (this.role === 'primary' && this.terms.term === term) return true;
    if (this.terms.term === term) return false;
    this.database.applyAll();
    this.role = 'primary';
    this.setTerms({term, fencedTerm: term});
    this.publishStatus();
    return true;
  }

  /**
   * Becomes a replica of `source`, whose log is adopted later. Returns `false`
   * if the member was fenced for a later term than that of `source`, or if it is
   * the primary of that term or of a later one.
   */
  follow(source: LogSource): boolean {
    if (source.term < this.terms.fencedTerm) return false;
    if (this.role === 'primary') {
      if (this.terms.term >= source.term) return false;
      this.role = 'replica';
      this.terminateSessions();
    }
    this.setTerms({...this.terms, fencedTerm: source.term});
    if (!isSameSource(this.source.current, source)) this.source.set(source);
    this.publishStatus();
    return true;
  }

  /** Returns whether the log is known to be a prefix of that of `source`. */
  isLogPrefixOf(source: LogSource): boolean {
    return (
      this.terms.term === source.term || this.pendingAdoption?.source === source
    );
  }

  /**
   * Starts to adopt the history of `source`: truncates the log to `common`, the
   * end of the prefix that both logs share. The member takes over the term of
   * `source` only once its log reaches `completeAt`: with the later term and a
   * shorter log it would be promoted in preference to a member that holds
   * confirmed records of the earlier term.
   */
  adoptHistory(
    source: LogSource,
    common: Position,
    completeAt: Position,
  ): void {
    if (this.database.log.end > common) {
      this.terminateSessions();
      this.database.truncate(common);
      this.store.rewrite(this.database.log.all);
    }
    this.pendingAdoption = {source, completeAt};
    this.completeAdoptionIfCaughtUp();
    this.publishStatus();
  }

  /** Stores records that the primary sent. */
  receive(records: readonly LogRecord[]): void {
    for (const record of records) {
      this.database.log.receive(record);
      this.store.append(record);
    }
    this.completeAdoptionIfCaughtUp();
    this.publishStatus();
  }

  private completeAdoptionIfCaughtUp(): void {
    const {pendingAdoption} = this;
    if (
      pendingAdoption === undefined ||
      pendingAdoption.source !== this.source.current
    ) {
      return;
    }
    if (this.database.log.end < pendingAdoption.completeAt) return;
    this.pendingAdoption = undefined;
    this.setTerms({...this.terms, term: pendingAdoption.source.term});
  }

  /** Makes a stored record visible to reads. */
  apply(record: LogRecord): void {
    this.database.apply(record);
    this.publishStatus();
  }

  private terminateSessions(): void {
    this.terminations.set(this.terminations.current + 1);
  }

  private setTerms(terms: StoredTerms): void {
    this.terms = terms;
    this.store.saveTerms(terms);
  }

  private publishStatus(): void {
    this.status.set(this.buildStatus());
  }

  private buildStatus(): MemberStatus {
    return {
      ...this.identity,
      ...this.terms,
      role: this.role,
      following: this.source.current !== undefined,
      received: this.database.log.end,
      applied: this.database.applied,
    };
  }
}

/**
 * Returns the terms of a member without history. A replica starts in term 0, so
 * that it counts towards no majority.
 */
function initialTerms(startAsPrimary: boolean): StoredTerms {
  return startAsPrimary ? {term: 1, fencedTerm: 1} : {term: 0, fencedTerm: 0};
}

function isSameSource(left: LogSource | undefined, right: LogSource): boolean {
  return (
    left?.term === right.term &&
    left.host === right.host &&
    left.port === right.port
  );
}
