import {Observable, withTimeout} from '@apricotlock/flow';
import {CallerFailure} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {
  CatalogueEntry,
  ClusterView,
  findEntry,
  isStoredCatalogue,
  ServiceTerms,
} from '@apricotlock/topology';

/** How long callers wait for a VM to receive its first catalogue. */
const CATALOGUE_WAIT_MILLISECONDS = 1_000;
/** Terms of catalogue entries that define none. */
export const DEFAULT_TERMS: ServiceTerms = {
  consistency: 'primary',
  statementMilliseconds: 30_000,
  priority: 0,
};

/** Finds catalogue entries by database. None are known before the first view. */
export class CatalogueLookup {
  private constructor(
    private readonly view: Observable<ClusterView>,
    private readonly timer: TimerService,
  ) {}

  /** Creates a lookup that always uses the newest view. */
  static of(
    view: Observable<ClusterView>,
    timer: TimerService,
  ): CatalogueLookup {
    return new CatalogueLookup(view, timer);
  }

  /** Returns the current catalogue entry of a database. */
  entryOf(database: string): CatalogueEntry | undefined {
    return findEntry(this.view.current.catalogue, database);
  }

  /** Returns whether a catalogue is known and does not contain the database. */
  lacksDatabase(database: string): boolean {
    return this.hasCatalogue && this.entryOf(database) === undefined;
  }

  /** Resolves once a catalogue is known or the wait has timed out. */
  async waitForCatalogue(): Promise<void> {
    if (this.hasCatalogue) return;
    const catalogueKnown = this.view.waitUntil(({catalogue}) =>
      isStoredCatalogue(catalogue),
    );
    await withTimeout(this.timer, CATALOGUE_WAIT_MILLISECONDS, catalogueKnown);
  }

  /** Returns the failure that a caller receives if no entry was found. */
  missingEntryFailure(database: string): CallerFailure {
    if (this.hasCatalogue) return {kind: 'unknownDatabase', database};
    return {
      kind: 'notRun',
      reason: 'this VM has not received its first catalogue yet',
      retryAfterMilliseconds: CATALOGUE_WAIT_MILLISECONDS,
    };
  }

  private get hasCatalogue(): boolean {
    return isStoredCatalogue(this.view.current.catalogue);
  }
}
