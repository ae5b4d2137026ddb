import {Observable, withTimeout} from '@apricotlock/flow';
import {CallerFailure} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {CatalogueEntry, ClusterView, findEntry} from '@apricotlock/topology';

/** How long callers wait on a VM that has no catalogue yet. */
const WAIT_MILLISECONDS = 1_000;

/** Finds a session's entry; before the first view nobody knows of any. */
export class CatalogueLookup {
  private constructor(
    private readonly view: Observable<ClusterView>,
    private readonly timer: TimerService,
  ) {}

  /** A look-up in the newest view. */
  static of(
    view: Observable<ClusterView>,
    timer: TimerService,
  ): CatalogueLookup {
    return new CatalogueLookup(view, timer);
  }

  /** The entry in force now. */
  entryOf(database: string): CatalogueEntry | undefined {
    return findEntry(this.view.current.catalogue, database);
  }

  /** Whether there is a catalogue, and it does not have the database. */
  lacks(database: string): boolean {
    return this.known && this.entryOf(database) === undefined;
  }

  /** Resolves once there is a catalogue, or after a while. */
  async untilKnown(): Promise<void> {
    if (this.known) return;
    const known = this.view.until(({catalogue}) => catalogue.version > 0);
    await withTimeout(this.timer, WAIT_MILLISECONDS, known);
  }

  /** What a caller is told of a database that was not found. */
  missing(database: string): CallerFailure {
    if (this.known) return {kind: 'unknownDatabase', database};
    return {
      kind: 'notRun',
      reason: 'this VM has only just started',
      retryAfterMilliseconds: WAIT_MILLISECONDS,
    };
  }

  private get known(): boolean {
    return this.view.current.catalogue.version > 0;
  }
}
