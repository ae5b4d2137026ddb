import {Observable} from '@apricotlock/flow';
import {MemberRole, MemberStatus} from '@apricotlock/member';
import {Position} from '@apricotlock/session';
import {Change, LogRecord} from './change.js';
import {Database} from './database.js';
import {MemberStore, StoredTerms} from './member_store.js';

/** Where a replica takes the log from. */
export interface LogSource {
  readonly term: number;
  readonly host: string;
  readonly port: number;
}

/** How slow a member is, in milliseconds. */
export interface MemberDelays {
  /** From the primary's commit until a replica holds the record. */
  readonly receive: number;
  /** From holding a record until reads show it. */
  readonly apply: number;
  /** What each statement takes on its slot. */
  readonly statement: number;
}

/** A history that a replica has begun to take over. */
interface Adoption {
  readonly source: LogSource;
  /** How far the primary held it when the replica began to follow. */
  readonly completeAt: Position;
}

/** Who a member is. */
export interface MemberIdentity {
  readonly name: string;
  readonly database: string;
}

/** A member's terms, role and data, and the rules by which they change. */
export class MemberRuntime {
  readonly database = Database.create();
  readonly status: Observable<MemberStatus>;
  readonly source = Observable.of<LogSource | undefined>(undefined);
  /** Told whenever sessions must end because the member changes its role. */
  readonly sessionsEnded = Observable.of(0);
  delays: MemberDelays = {receive: 0, apply: 0, statement: 0};
  private adopting: Adoption | undefined;
  private terms: StoredTerms;
  private role: MemberRole;

  private constructor(
    private readonly identity: MemberIdentity,
    private readonly store: MemberStore,
    startAsPrimary: boolean,
  ) {
    this.terms = store.loadTerms() ?? firstTerms(startAsPrimary);
    const records = store.loadRecords();
    for (const record of records) this.database.log.receive(record);
    this.database.applyAll();
    // A member that comes back does not know whether it was replaced.
    const fresh = !store.hasHistory;
    this.role = startAsPrimary && fresh ? 'primary' : 'replica';
    store.saveTerms(this.terms);
    this.status = Observable.of(this.describe());
  }

  /** Starts with what the store holds. */
  static start(
    identity: MemberIdentity,
    store: MemberStore,
    startAsPrimary: boolean,
  ): MemberRuntime {
    return new MemberRuntime(identity, store, startAsPrimary);
  }

  /** Whether the member may commit: it leads, and is not fenced since. */
  get leads(): boolean {
    return this.role === 'primary' && this.terms.fencedTerm === this.terms.term;
  }

  /** The term of the member's log. */
  get term(): number {
    return this.terms.term;
  }

  /** Writes a transaction to the log; the tables show it already. */
  commit(changes: readonly Change[]): LogRecord {
    const record = this.database.commit(this.terms.term, changes);
    this.store.append(record);
    this.publish();
    return record;
  }

  /** Refuses every term before `term` from now on. */
  fence(term: number): boolean {
    if (term < this.terms.fencedTerm) return false;
    if (term === this.terms.fencedTerm) return true;
    this.setTerms({...this.terms, fencedTerm: term});
    this.source.set(undefined);
    if (this.role === 'primary') this.endSessions();
    this.publish();
    return true;
  }

  /** Becomes the primary of `term` with all that it holds. */
  promote(term: number): boolean {
    if (term !== this.terms.fencedTerm) return false;
    if (this.role === 'primary' && this.terms.term === term) return true;
    if (this.terms.term === term) return false;
    this.database.applyAll();
    this.role = 'primary';
    this.setTerms({term, fencedTerm: term});
    this.publish();
    return true;
  }

  /** Becomes a replica in `source.term`; its log is adopted later. */
  follow(source: LogSource): boolean {
    if (source.term < this.terms.fencedTerm) return false;
    if (this.role === 'primary') {
      if (this.terms.term >= source.term) return false;
      this.role = 'replica';
      this.endSessions();
    }
    this.setTerms({...this.terms, fencedTerm: source.term});
    if (!sameSource(this.source.current, source)) this.source.set(source);
    this.publish();
    return true;
  }

  /** Whether the log is known to be a part of what `source` sends. */
  matches(source: LogSource): boolean {
    return this.terms.term === source.term || this.adopting?.source === source;
  }

  /**
   * The log is now a part of the history of `source`, up to `common`. The
   * member counts as one of that term only once it holds all that the primary
   * held then: with the later term and a shorter log it would be promoted
   * before a member that holds confirmed records of the term before.
   */
  adopt(source: LogSource, common: Position, completeAt: Position): void {
    if (this.database.log.end > common) {
      this.endSessions();
      this.database.truncate(common);
      this.store.rewrite(this.database.log.all);
    }
    this.adopting = {source, completeAt};
    this.adoptIfComplete();
    this.publish();
  }

  /** Holds records that the primary sent. */
  receive(records: readonly LogRecord[]): void {
    for (const record of records) {
      this.database.log.receive(record);
      this.store.append(record);
    }
    this.adoptIfComplete();
    this.publish();
  }

  private adoptIfComplete(): void {
    const {adopting} = this;
    if (adopting === undefined || adopting.source !== this.source.current) {
      return;
    }
    if (this.database.log.end < adopting.completeAt) return;
    this.adopting = undefined;
    this.setTerms({...this.terms, term: adopting.source.term});
  }

  /** Shows a held record to readers. */
  apply(record: LogRecord): void {
    this.database.apply(record);
    this.publish();
  }

  private endSessions(): void {
    this.sessionsEnded.set(this.sessionsEnded.current + 1);
  }

  private setTerms(terms: StoredTerms): void {
    this.terms = terms;
    this.store.saveTerms(terms);
  }

  private publish(): void {
    this.status.set(this.describe());
  }

  private describe(): MemberStatus {
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

/** Without a history a member is of no term: it counts for no majority. */
function firstTerms(startAsPrimary: boolean): StoredTerms {
  return startAsPrimary ? {term: 1, fencedTerm: 1} : {term: 0, fencedTerm: 0};
}

function sameSource(left: LogSource | undefined, right: LogSource): boolean {
  return (
    left?.term === right.term &&
    left.host === right.host &&
    left.port === right.port
  );
}
