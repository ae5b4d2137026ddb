import {Either, Left, Right} from 'purify-ts';
import {Deferred} from '@apricotlock/flow';
import {Unsubscribe} from '@apricotlock/timer';
import {CommandAnswer} from './control_command.js';
import {
  findControlMember,
  isQuorum,
  quorumOf,
  votersOf,
} from './control_configuration.js';
import {ControlError} from './control_log.js';
import {checkEntryBody} from './entry_check.js';
import {EntryBody, LogPosition} from './log_entry.js';
import {LeaderContext, Replicator} from './replicator.js';

const MAXIMUM_PENDING_PROPOSALS = 10_000;

/** The result of a proposed log entry. */
export type ProposalOutcome = Either<ControlError, CommandAnswer | undefined>;

/** Notifications of a leadership to the consensus. */
export interface LeadershipEvents {
  readonly onCommitted: (index: number) => void;
  readonly onQuorumLost: () => void;
}

/** A caller that waits until a quorum has confirmed the leadership. */
interface Confirmation {
  readonly requestedAt: number;
  readonly done: Deferred<boolean>;
}

/** One term in which this control VM leads. */
export class Leadership {
  /**
   * Position of the first entry of the term. Committing it commits all earlier
   * entries.
   */
  readonly firstPosition: LogPosition;
  private replicators: readonly Replicator[] = [];
  private readonly pending = new Map<number, Deferred<ProposalOutcome>>();
  private committedIndex = 0;
  private readonly startedAt: number;
  /** Confirmations of this leadership that wait for a quorum. */
  private confirmations: readonly Confirmation[] = [];
  private stopTicking: Unsubscribe = () => undefined;
  private ended = false;

  private constructor(
    private readonly context: LeaderContext,
    private readonly events: LeadershipEvents,
    private readonly quorumTimeoutMilliseconds: number,
  ) {
    this.startedAt = context.timer.now();
    this.firstPosition = {
      index: context.log.last.index + 1,
      term: context.term,
    };
  }

  /** Starts the leadership by appending the first entry of the term. */
  static begin(
    context: Omit<
      LeaderContext,
      'onMatchAdvanced' | 'onContact' | 'commitIndex' | 'quorumContactAt'
    >,
    events: LeadershipEvents,
    quorumTimeoutMilliseconds: number,
  ): Leadership {
    const leadership: Leadership = new Leadership(
      {
        ...context,
        onMatchAdvanced: () => leadership.advanceCommitIndex(),
        onContact: () => leadership.resolveConfirmations(),
        quorumContactAt: () => leadership.quorumContactAt,
        commitIndex: () => leadership.committedIndex,
      },
      events,
      quorumTimeoutMilliseconds,
    );
    leadership.append({kind: 'termStart'});
    leadership.stopTicking = context.timer.every(
      context.heartbeatIntervalMilliseconds,
      () => leadership.tick(),
    );
    return leadership;
  }

  /** When a quorum was last known to follow this leader. */
  get quorumContactAt(): number {
    const {log, timer} = this.context;
    const {configuration} = log;
    const contactTimes = votersOf(configuration)
      .map(({diskId}) =>
        diskId === log.vote.diskId ? timer.now() : this.lastContactAtOf(diskId),
      )
      .sort((left, right) => right - left);
    return contactTimes[quorumOf(configuration) - 1] ?? this.startedAt;
  }

  /**
   * Resolves to `true` once a quorum has followed this leader at some moment
   * after the call, or to `false` if the leadership ends before.
   */
  confirm(): Promise<boolean> {
    if (this.ended) return Promise.resolve(false);
    const done = Deferred.create<boolean>();
    const requestedAt = this.context.timer.now();
    this.confirmations = [...this.confirmations, {requestedAt, done}];
    this.resolveConfirmations();
    return done.promise;
  }

  /** Returns the replication task for a disk. */
  replicatorOf(diskId: string): Replicator | undefined {
    return this.replicators.find(({member}) => member.diskId === diskId);
  }

  /**
   * Appends an entry to the log; resolves once it has been applied. A malformed
   * entry is refused and not appended.
   */
  async propose(body: EntryBody): Promise<ProposalOutcome> {
    if (this.ended || this.pending.size >= MAXIMUM_PENDING_PROPOSALS) {
      const reason = this.ended ? 'not leading' : 'too many pending proposals';
      return Left({kind: 'unavailable', reason});
    }
    return checkEntryBody(body).caseOf<Promise<ProposalOutcome>>({
      Left: async reason => Right({kind: 'refused', reason}),
      Right: checked => {
        const deferred = Deferred.create<ProposalOutcome>();
        this.pending.set(this.append(checked), deferred);
        return deferred.promise;
      },
    });
  }

  /** Resolves the proposal of an entry that has been applied. */
  resolveProposal(index: number, answer: CommandAnswer | undefined): void {
    this.pending.get(index)?.resolve(Right(answer));
    this.pending.delete(index);
  }

  /**
   * Ends the leadership. The outcome of pending proposals is unknown, as the
   * next leader may commit them.
   */
  end(): void {
    this.ended = true;
    this.stopTicking();
    for (const {done} of this.confirmations) done.resolve(false);
    this.confirmations = [];
    for (const replicator of this.replicators) replicator.stop();
    const reason = 'leadership ended before the entry was committed';
    for (const deferred of this.pending.values()) {
      deferred.resolve(Left({kind: 'unknown', reason}));
    }
    this.pending.clear();
  }

  private append(body: EntryBody): number {
    const {log, term} = this.context;
    const index = log.last.index + 1;
    log.append([{index, term, body}]);
    this.updateReplicators();
    for (const replicator of this.replicators) replicator.wake();
    void log.flushed().then(() => this.advanceCommitIndex());
    return index;
  }

  private updateReplicators(): void {
    const {log} = this.context;
    const otherMembers = log.configuration.members.filter(
      ({diskId}) => diskId !== log.vote.diskId,
    );
    const retained = this.replicators.filter(({member}) => {
      const found = findControlMember(log.configuration, member.diskId);
      return found !== undefined;
    });
    for (const replicator of this.replicators) {
      if (!retained.includes(replicator)) replicator.stop();
    }
    const added = otherMembers
      .filter(({diskId}) => this.replicatorOf(diskId) === undefined)
      .map(member => Replicator.start(member, this.context));
    this.replicators = [...retained, ...added];
  }

  /** Advances the commit index to the newest entry that a quorum has synced. */
  private advanceCommitIndex(): void {
    if (this.ended) return;
    const {log} = this.context;
    for (let index = log.last.index; index > this.committedIndex; index--) {
      // An entry of an older term is committed only together with one of this
      // term.
      if (log.termAt(index) !== this.context.term) return;
      if (!isQuorum(log.configuration, this.disksHolding(index))) continue;
      this.committedIndex = index;
      this.events.onCommitted(index);
      for (const replicator of this.replicators) replicator.wake();
      return;
    }
  }

  private disksHolding(index: number): ReadonlySet<string> {
    const {log} = this.context;
    const others = this.replicators
      .filter(({matchIndex}) => matchIndex >= index)
      .map(({member}) => member.diskId);
    const own = log.flushedIndex >= index ? [log.vote.diskId] : [];
    return new Set([...others, ...own]);
  }

  private lastContactAtOf(diskId: string): number {
    return this.replicatorOf(diskId)?.lastContactAt ?? this.startedAt;
  }

  private resolveConfirmations(): void {
    if (this.confirmations.length === 0) return;
    const {quorumContactAt} = this;
    const isConfirmed = ({requestedAt}: Confirmation) =>
      quorumContactAt >= requestedAt;
    const confirmed = this.confirmations.filter(isConfirmed);
    if (confirmed.length === 0) return;
    this.confirmations = this.confirmations.filter(
      each => !confirmed.includes(each),
    );
    for (const {done} of confirmed) done.resolve(true);
  }

  /** Checks the contact with a quorum and sends the heartbeats. */
  private tick(): void {
    const silence = this.context.timer.now() - this.quorumContactAt;
    if (silence > this.quorumTimeoutMilliseconds) this.events.onQuorumLost();
    if (this.ended) return;
    for (const replicator of this.replicators) void replicator.sendHeartbeat();
  }
}
