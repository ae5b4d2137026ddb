import {TimerService} from '@apricotlock/timer';
import {CatalogueEntry} from '@apricotlock/topology';
import {deleteExpiredKeysQuery} from './idempotency_table.js';
import {Router} from './router.js';
import {DEFAULT_SETTINGS} from './session_settings.js';

/** How long a key is stored, during which its request is not run again. */
export const KEY_RETENTION_MILLISECONDS = 24 * 3_600_000;
/** Minimum time between two deletions of expired keys in one database. */
const CLEANING_PERIOD_MILLISECONDS = 60_000;

/** Deletes expired idempotency keys in the databases in which keys are used. */
export class IdempotencyCleaner {
  /** Time of the last deletion by database, on the timer's clock. */
  private readonly lastCleanings = new Map<string, number>();

  private constructor(
    private readonly router: Router,
    private readonly timer: TimerService,
  ) {}

  /** Creates the cleaner of one entry VM. */
  static create(router: Router, timer: TimerService): IdempotencyCleaner {
    return new IdempotencyCleaner(router, timer);
  }

  /**
   * Called when a key has been used in the entry's database. Deletes the expired
   * keys of the database unless that was done recently.
   */
  recordKeyUse(entry: CatalogueEntry): void {
    const now = this.timer.now();
    const last = this.lastCleanings.get(entry.database);
    if (last !== undefined && now - last < CLEANING_PERIOD_MILLISECONDS) return;
    this.lastCleanings.set(entry.database, now);
    void this.clean(entry);
  }

  private async clean(entry: CatalogueEntry): Promise<void> {
    const createdBefore = this.timer.wallClock() - KEY_RETENTION_MILLISECONDS;
    const outcome = await this.router.route({
      entry,
      session: 'idempotency cleaner',
      settings: DEFAULT_SETTINGS,
      purpose: 'write',
      run: {
        bytes: deleteExpiredKeysQuery(createdBefore),
        answers: 1,
        reset: false,
      },
      sink: async () => undefined,
      onLease: () => undefined,
    });
    if (outcome.kind === 'routed') outcome.lease.release();
  }
}
