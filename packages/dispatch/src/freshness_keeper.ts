import {Deferred, Observable, withTimeout, TIMED_OUT} from '@apricotlock/flow';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {ClusterView, findGroup, VirtualMachine} from '@apricotlock/topology';
import {CURRENT_POSITION, WorkService} from '@apricotlock/work';
import {Evidence, FreshnessBook} from './freshness_book.js';

const ASK_TIMEOUT_MILLISECONDS = 500;
/** A group that was read lately is asked at this pace. */
const REFRESH_MILLISECONDS = 300;
const TICK_MILLISECONDS = 100;
/** For so long after a read a group's evidence is kept fresh. */
const INTEREST_MILLISECONDS = 3_000;
const RETRY_MILLISECONDS = 20;

/** What keeping evidence fresh needs. */
export interface FreshnessKeeperOptions {
  readonly self: string;
  readonly view: Observable<ClusterView>;
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly network: PeerNetwork;
  readonly work: WorkService;
  readonly timer: TimerService;
}

/** Asks holders of primaries how far their logs are, while reads need it. */
export class FreshnessKeeper {
  private readonly book = FreshnessBook.create();
  private readonly readAt = new Map<string, number>();
  private readonly asking = new Map<string, Deferred<void>>();
  private readonly stopTicking: Unsubscribe;

  private constructor(private readonly options: FreshnessKeeperOptions) {
    this.stopTicking = options.timer.every(TICK_MILLISECONDS, () =>
      this.refresh(),
    );
  }

  /** Starts without evidence. */
  static start(options: FreshnessKeeperOptions): FreshnessKeeper {
    return new FreshnessKeeper(options);
  }

  /** How long ago the holder of any primary answered, in milliseconds. */
  get evidenceAgeMilliseconds(): number {
    const newest = this.options.view.current.groups.map(
      ({database}) => this.book.newest(database)?.askedAt ?? -Infinity,
    );
    return this.options.timer.now() - Math.max(-Infinity, ...newest);
  }

  /** How long ago a group's holder answered; 0 if it was not asked lately. */
  silentMilliseconds(database: string): number {
    if (!this.readAt.has(database)) return 0;
    const answered = this.book.newest(database)?.askedAt;
    return answered === undefined ? 0 : this.options.timer.now() - answered;
  }

  /** Ends the task. */
  stop(): void {
    this.stopTicking();
  }

  /**
   * What covers every write acknowledged before `moment`, waiting a while for
   * it if it is not known yet; `undefined` if it can't be had.
   */
  async coverSince(
    database: string,
    moment: number,
    waitMilliseconds: number,
  ): Promise<Evidence | undefined> {
    const {timer} = this.options;
    this.readAt.set(database, timer.now());
    const deadline = timer.now() + waitMilliseconds;
    for (;;) {
      this.noteOwn(database);
      const known = this.book.coverSince(database, moment);
      const left = deadline - timer.now();
      if (known !== undefined || left <= 0) return known;
      const asked = await withTimeout(timer, left, this.ask(database));
      if (asked === TIMED_OUT) continue;
      const pause = Math.min(RETRY_MILLISECONDS, deadline - timer.now());
      const found = this.book.coverSince(database, moment) !== undefined;
      if (!found && pause > 0) await timer.sleep(pause);
    }
  }

  private refresh(): void {
    const now = this.options.timer.now();
    for (const [database, readAt] of this.readAt) {
      if (now - readAt > INTEREST_MILLISECONDS) {
        this.readAt.delete(database);
        continue;
      }
      const newest = this.book.newest(database)?.askedAt ?? -Infinity;
      if (now - newest >= REFRESH_MILLISECONDS) void this.ask(database);
    }
  }

  /** Where this VM holds the primary, it knows without asking. */
  private noteOwn(database: string): void {
    const {view, work, timer} = this.options;
    const term = findGroup(view.current, database)?.term ?? 0;
    const position = work.currentPosition(database, term);
    if (position === undefined) return;
    this.book.note(database, {term, askedAt: timer.now(), position});
  }

  private ask(database: string): Promise<void> {
    const known = this.asking.get(database);
    if (known !== undefined) return known.promise;
    const asked = Deferred.create<void>();
    this.asking.set(database, asked);
    void this.askHolder(database).finally(() => {
      this.asking.delete(database);
      asked.resolve();
    });
    return asked.promise;
  }

  private async askHolder(database: string): Promise<void> {
    const {self, view, machines, network, timer} = this.options;
    const group = findGroup(view.current, database);
    if (group?.primary === undefined) return;
    if (group.holder === self) return this.noteOwn(database);
    const {term} = group;
    const holder = machines.current.find(({name}) => name === group.holder);
    if (holder === undefined) return;
    const askedAt = timer.now();
    const answer = await network.call(
      holder.peerAddress,
      CURRENT_POSITION,
      {database, term},
      ASK_TIMEOUT_MILLISECONDS,
    );
    answer.ifRight(position =>
      this.book.note(database, {term, askedAt, position}),
    );
  }
}
