import {Either, Left, Right} from 'purify-ts';
import {Deferred} from '@apricotlock/flow';
import {CommandAnswer} from './control_command.js';
import {
  findControlMember,
  isQuorum,
  quorumOf,
  votersOf,
} from './control_configuration.js';
import {ControlError} from './control_log.js';
import {EntryBody, LogPosition} from './log_entry.js';
import {LeaderContext, Replicator} from './replicator.js';

const MAXIMUM_PENDING = 10_000;

/** What became of an entry that was proposed. */
export type ProposalOutcome = Either<ControlError, CommandAnswer | undefined>;

/** What a leadership tells the consensus of. */
export interface LeadershipEvents {
  readonly committed: (index: number) => void;
  readonly quorumLost: () => void;
}

/** One term in which this control VM leads. */
export class Leadership {
  /** The place of the term's first entry: all before it is decided with it. */
  readonly start: LogPosition;
  private replicators: readonly Replicator[] = [];
  private readonly pending = new Map<number, Deferred<ProposalOutcome>>();
  private committedTo = 0;
  private readonly startedAt: number;
  private ended = false;

  private constructor(
    private readonly context: LeaderContext,
    private readonly events: LeadershipEvents,
    private readonly silenceMilliseconds: number,
  ) {
    this.startedAt = context.timer.now();
    this.start = {index: context.log.last.index + 1, term: context.term};
  }

  /** Begins to lead: the first entry of the term goes out at once. */
  static begin(
    context: Omit<LeaderContext, 'progressed' | 'commitIndex'>,
    events: LeadershipEvents,
    silenceMilliseconds: number,
  ): Leadership {
    const leadership: Leadership = new Leadership(
      {
        ...context,
        progressed: () => leadership.advance(),
        commitIndex: () => leadership.committedTo,
      },
      events,
      silenceMilliseconds,
    );
    leadership.append({kind: 'termStart'});
    void leadership.checkQuorum();
    return leadership;
  }

  /** When a quorum was last known to follow this leader. */
  get quorumHeardAt(): number {
    const {log, timer} = this.context;
    const {configuration} = log;
    const heard = votersOf(configuration)
      .map(({diskId}) =>
        diskId === log.vote.diskId ? timer.now() : this.heardAt(diskId),
      )
      .sort((left, right) => right - left);
    return heard[quorumOf(configuration) - 1] ?? this.startedAt;
  }

  /** The task for a participant's disk. */
  replicatorOf(diskId: string): Replicator | undefined {
    return this.replicators.find(({member}) => member.diskId === diskId);
  }

  /** Puts an entry into the log; answers once it has been carried out. */
  propose(body: EntryBody): Promise<ProposalOutcome> {
    if (this.ended || this.pending.size >= MAXIMUM_PENDING) {
      const reason = this.ended ? 'not leading' : 'too many changes at once';
      return Promise.resolve(Left({kind: 'unavailable', reason}));
    }
    const deferred = Deferred.create<ProposalOutcome>();
    this.pending.set(this.append(body), deferred);
    return deferred.promise;
  }

  /** Tells who proposed an entry that it was carried out. */
  carriedOut(index: number, answer: CommandAnswer | undefined): void {
    this.pending.get(index)?.resolve(Right(answer));
    this.pending.delete(index);
  }

  /** Leads no more; nobody knows what becomes of what is open. */
  end(): void {
    this.ended = true;
    for (const replicator of this.replicators) replicator.stop();
    const reason = 'the leader changed';
    for (const deferred of this.pending.values()) {
      deferred.resolve(Left({kind: 'unknown', reason}));
    }
    this.pending.clear();
  }

  private append(body: EntryBody): number {
    const {log, term} = this.context;
    const index = log.last.index + 1;
    log.append([{index, term, body}]);
    this.followConfiguration();
    for (const replicator of this.replicators) replicator.wake();
    void log.flushed().then(() => this.advance());
    return index;
  }

  private followConfiguration(): void {
    const {log} = this.context;
    const wanted = log.configuration.members.filter(
      ({diskId}) => diskId !== log.vote.diskId,
    );
    const kept = this.replicators.filter(({member}) => {
      const found = findControlMember(log.configuration, member.diskId);
      return found !== undefined;
    });
    for (const gone of this.replicators) {
      if (!kept.includes(gone)) gone.stop();
    }
    const added = wanted
      .filter(({diskId}) => this.replicatorOf(diskId) === undefined)
      .map(member => Replicator.start(member, this.context));
    this.replicators = [...kept, ...added];
  }

  /** Decides what a quorum has synced. */
  private advance(): void {
    if (this.ended) return;
    const {log} = this.context;
    for (let index = log.last.index; index > this.committedTo; index--) {
      // An older term's entry is decided only with one of this term.
      if (log.termAt(index) !== this.context.term) return;
      if (!isQuorum(log.configuration, this.holdersOf(index))) continue;
      this.committedTo = index;
      this.events.committed(index);
      for (const replicator of this.replicators) replicator.wake();
      return;
    }
  }

  private holdersOf(index: number): ReadonlySet<string> {
    const {log} = this.context;
    const others = this.replicators
      .filter(({matchIndex}) => matchIndex >= index)
      .map(({member}) => member.diskId);
    const own = log.flushedIndex >= index ? [log.vote.diskId] : [];
    return new Set([...others, ...own]);
  }

  private heardAt(diskId: string): number {
    return this.replicatorOf(diskId)?.heardAt ?? this.startedAt;
  }

  private async checkQuorum(): Promise<void> {
    const {timer, heartbeatMilliseconds} = this.context;
    while (!this.ended) {
      await timer.sleep(heartbeatMilliseconds);
      const silence = timer.now() - this.quorumHeardAt;
      if (this.ended || silence <= this.silenceMilliseconds) continue;
      this.events.quorumLost();
    }
  }
}
