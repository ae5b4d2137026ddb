import {Logger} from '@apricotlock/logging';
import {
  laterPosition,
  LogPosition,
  StatementAnswer,
} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {GroupTerm} from './lease_messages.js';
import {AssignedPrimary} from './lease_renewer.js';
import {MemberWorker} from './member_worker.js';
import {PrimaryLeases} from './primary_leases.js';

/** The interval at which a revocation checks whether work has finished. */
const REVOCATION_POLL_INTERVAL_MILLISECONDS = 5;
/** The pause between attempts to read the position of a new primary. */
const POSITION_RETRY_MILLISECONDS = 50;

/** A primary whose lease this VM received, and its last known position. */
interface HeldPrimary {
  readonly term: number;
  /** The primary of the term; the view may be of a later term already. */
  readonly primary: string;
  readonly position: LogPosition | undefined;
}

/** Dependencies of the held primaries. */
export interface HeldPrimariesOptions {
  readonly leases: PrimaryLeases;
  readonly timer: TimerService;
  readonly logger: Logger;
  /** Returns the worker of a member, if there is one. */
  readonly findWorker: (member: string) => MemberWorker | undefined;
  /** The same, but creates a worker for a member that is known. */
  readonly findOrCreateWorker: (
    database: string,
    member: string,
  ) => MemberWorker | undefined;
  readonly closeWorker: (worker: MemberWorker) => void;
}

/**
 * The primaries whose leases this VM received, from the first grant of a term to
 * its revocation. Their log positions are known only under the lease.
 */
export class HeldPrimaries {
  /** By database; the newest term of which this VM received the lease. */
  private readonly held = new Map<string, HeldPrimary>();

  private constructor(private readonly options: HeldPrimariesOptions) {}

  /** Creates the primaries of a VM that has received no lease. */
  static create(options: HeldPrimariesOptions): HeldPrimaries {
    return new HeldPrimaries(options);
  }

  /** Records a granted lease, and reads the position of a new primary. */
  recordLease({database, term, primary}: AssignedPrimary): void {
    if (this.held.get(database)?.term === term) return;
    this.held.set(database, {term, primary, position: undefined});
    void this.fetchInitialPosition(database, term, primary);
  }

  /** Records the log position in an answer of a primary under lease. */
  recordAnswer(
    database: string,
    member: string,
    {position}: StatementAnswer,
  ): void {
    const held = this.held.get(database);
    if (held?.primary !== member) return;
    this.held.set(database, {
      ...held,
      position: laterPosition(held.position, position),
    });
  }

  /**
   * Returns a log position that includes all writes acknowledged by the group
   * so far. Returns `undefined` if this VM does not hold the lease of the term
   * or does not know the position yet.
   */
  currentPosition(database: string, term: number): LogPosition | undefined {
    const held = this.held.get(database);
    const isHeld = this.options.leases.holds(database, term);
    return held?.term === term && isHeld ? held.position : undefined;
  }

  /** Returns how many open transactions need the lease of a term. */
  countTransactions({database, term}: GroupTerm): number {
    const held = this.held.get(database);
    if (held?.term !== term) return 0;
    const worker = this.options.findWorker(held.primary);
    return worker?.countTransactions(term) ?? 0;
  }

  /** Whether this VM holds the lease of a primary. */
  get holdsLease(): boolean {
    const {leases} = this.options;
    return [...this.held].some(([database, {term}]) =>
      leases.holds(database, term),
    );
  }

  /** Resolves once this VM holds no lease, at the latest after a time. */
  async waitUntilHandedOver(timeoutMilliseconds: number): Promise<void> {
    const {timer} = this.options;
    const deadline = timer.now() + timeoutMilliseconds;
    while (this.holdsLease && timer.now() < deadline) {
      await timer.sleep(REVOCATION_POLL_INTERVAL_MILLISECONDS);
    }
  }

  /**
   * Revokes the leases of terms before `term` after work in progress has ended,
   * at the latest after the grace period. Work that is still in progress then
   * is lost. Resolves once the primary of an earlier term is no longer used.
   */
  async revokeBefore(
    {database, term}: GroupTerm,
    graceMilliseconds: number,
  ): Promise<void> {
    const {leases, logger} = this.options;
    const held = this.held.get(database);
    const former = held !== undefined && held.term < term ? held : undefined;
    const worker = former && this.options.findWorker(former.primary);
    if (former !== undefined) {
      await this.waitForWork(database, former, worker, graceMilliseconds);
    }
    leases.revokeBefore(database, term);
    if (former === undefined) return;
    // The lease of a later term may have been granted to this VM meanwhile.
    if (this.held.get(database)?.term === former.term) {
      this.held.delete(database);
    }
    // Reads that need no lease go on, unless work of the former term would too.
    if (worker?.isBusyIn(former.term) === true) {
      this.options.closeWorker(worker);
    }
    logger.info('primary lease revoked', {database, beforeTerm: term});
  }

  /**
   * Waits until no work of a term is in progress, for a limited time and only
   * while its lease is held: after that, no statement of the term may begin.
   */
  private async waitForWork(
    database: string,
    {term}: HeldPrimary,
    worker: MemberWorker | undefined,
    milliseconds: number,
  ): Promise<void> {
    const {leases, timer} = this.options;
    const deadline = timer.now() + milliseconds;
    while (
      worker?.isBusyIn(term) === true &&
      timer.now() < deadline &&
      leases.holds(database, term)
    ) {
      await timer.sleep(REVOCATION_POLL_INTERVAL_MILLISECONDS);
    }
  }

  /**
   * Reads the position of a newly leased primary, with retries until the lease
   * ends. Until the primary has answered, this VM reports no position, because
   * it does not know which writes were acknowledged before.
   */
  private async fetchInitialPosition(
    database: string,
    term: number,
    primary: string,
  ): Promise<void> {
    const {leases, timer, logger, findOrCreateWorker} = this.options;
    const isObsolete = () =>
      this.held.get(database)?.term !== term || !leases.holds(database, term);
    while (!isObsolete()) {
      const worker = findOrCreateWorker(database, primary);
      const position = await worker?.currentPosition();
      if (position !== undefined && !isObsolete()) {
        const known = this.held.get(database)?.position;
        this.held.set(database, {
          term,
          primary,
          position: laterPosition(known, position),
        });
        logger.info('primary lease acquired', {
          database,
          term,
          primary,
          position: `${position.term}.${position.number}`,
        });
        return;
      }
      await timer.sleep(POSITION_RETRY_MILLISECONDS);
    }
  }
}
