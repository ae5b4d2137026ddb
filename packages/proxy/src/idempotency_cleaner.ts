import {TimerService} from '@apricotlock/timer';
import {CatalogueEntry} from '@apricotlock/topology';
import {forgetQuery} from './idempotency_table.js';
import {Router} from './router.js';
import {DEFAULT_SETTINGS} from './session_settings.js';

/** How long a key keeps a request from being run again. */
export const KEY_RETENTION_MILLISECONDS = 24 * 3_600_000;
const CLEANING_PERIOD_MILLISECONDS = 60_000;

/** Forgets old idempotency keys, in databases in which keys are used. */
export class IdempotencyCleaner {
  private readonly cleanedAt = new Map<string, number>();

  private constructor(
    private readonly router: Router,
    private readonly timer: TimerService,
  ) {}

  /** A cleaner for the callers of one entry VM. */
  static create(router: Router, timer: TimerService): IdempotencyCleaner {
    return new IdempotencyCleaner(router, timer);
  }

  /** A key was used: old ones are forgotten if it is time again. */
  keyUsed(entry: CatalogueEntry): void {
    const now = this.timer.now();
    const last = this.cleanedAt.get(entry.database);
    if (last !== undefined && now - last < CLEANING_PERIOD_MILLISECONDS) return;
    this.cleanedAt.set(entry.database, now);
    void this.clean(entry);
  }

  private async clean(entry: CatalogueEntry): Promise<void> {
    const oldest = this.timer.wallClock() - KEY_RETENTION_MILLISECONDS;
    const outcome = await this.router.route({
      entry,
      session: 'idempotency cleaner',
      settings: DEFAULT_SETTINGS,
      purpose: 'write',
      run: {bytes: forgetQuery(oldest), answers: 1, reset: false},
      sink: async () => undefined,
      holding: () => undefined,
    });
    if (outcome.kind === 'routed') outcome.lease.release();
  }
}
