import {Deferred} from '@apricotlock/flow';
import {PeerError} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {Either} from 'purify-ts';
import {
  APPEND,
  AppendAnswer,
  AppendRequest,
  INSTALL_SNAPSHOT,
} from './consensus_messages.js';
import {ReceivedAnswers} from './confirmed_answers.js';
import {ControlMember} from './control_configuration.js';
import {ControlPeers} from './control_peers.js';
import {DurableLog} from './durable_log.js';
import {LogEntry} from './log_entry.js';

const ENTRIES_PER_CALL = 16;

/**
 * The reason with which a VM refuses a message that is addressed to another
 * disk. The leader compares it in order to detect a replaced disk.
 */
export const WRONG_DISK_REASON = 'this VM has another disk';

/** Dependencies shared by a leader's replication tasks. */
export interface LeaderContext {
  readonly log: DurableLog;
  readonly peers: ControlPeers;
  readonly timer: TimerService;
  readonly heartbeatIntervalMilliseconds: number;
  readonly self: string;
  readonly term: number;
  readonly commitIndex: () => number;
  /** When a quorum was last known to follow this leader. */
  readonly quorumContactAt: () => number;
  /** Called with each answer that shows that a follower follows. */
  readonly onContact: () => void;
  /** Called when a follower has synced more of the log. */
  readonly onMatchAdvanced: () => void;
  readonly onHigherTerm: (term: number) => void;
}

/** Replicates the leader's log to one other control VM. */
export class Replicator {
  private nextIndex: number;
  private matched = 0;
  private contactAt: number;
  private sentCommitIndex = -1;
  private diskMismatch = false;
  private stopped = false;
  private readonly receivedAnswers = ReceivedAnswers.create();
  private wakeSignal = Deferred.create<void>();

  private constructor(
    readonly member: ControlMember,
    private readonly context: LeaderContext,
  ) {
    this.nextIndex = context.log.last.index + 1;
    this.contactAt = context.timer.now();
  }

  /** Starts the replication. */
  static start(member: ControlMember, context: LeaderContext): Replicator {
    const replicator = new Replicator(member, context);
    void replicator.replicate();
    return replicator;
  }

  /** The newest index that the other VM is known to have synced. */
  get matchIndex(): number {
    return this.matched;
  }

  /** When the most recent answered message was sent. */
  get lastContactAt(): number {
    return this.contactAt;
  }

  /** Whether the other VM answers from another disk than the expected one. */
  get hasDifferentDisk(): boolean {
    return this.diskMismatch;
  }

  /** Notifies the task that there may be something to send. */
  wake(): void {
    this.wakeSignal.resolve();
  }

  /**
   * Sends a heartbeat, independently of the entries, whose answers a slow disk
   * may delay.
   */
  async sendHeartbeat(): Promise<void> {
    const {log} = this.context;
    const term = log.termAt(this.matched);
    const position =
      term === undefined ? log.snapshot : {index: this.matched, term};
    const request = this.createAppendRequest(position.index, position.term, []);
    await this.send(() =>
      this.context.peers.call(this.member, APPEND, request),
    );
  }

  /** Ends the task. */
  stop(): void {
    this.stopped = true;
    this.wake();
  }

  private async replicate(): Promise<void> {
    while (!this.stopped) {
      this.wakeSignal = Deferred.create<void>();
      const succeeded = await this.sendNext();
      if (this.stopped) return;
      if (!succeeded) {
        await this.context.timer.sleep(
          this.context.heartbeatIntervalMilliseconds,
        );
      } else if (!this.hasMore()) {
        await this.wakeSignal.promise;
      }
    }
  }

  private hasMore(): boolean {
    const {log, commitIndex} = this.context;
    return (
      this.nextIndex <= log.last.index || this.sentCommitIndex < commitIndex()
    );
  }

  private async sendNext(): Promise<boolean> {
    const {log, commitIndex} = this.context;
    const previousTerm = log.termAt(this.nextIndex - 1);
    const entries = log.entriesFrom(this.nextIndex, ENTRIES_PER_CALL);
    if (previousTerm === undefined || entries === undefined) {
      return this.sendSnapshot();
    }
    const offeredCommitIndex = commitIndex();
    const request = this.createAppendRequest(
      this.nextIndex - 1,
      previousTerm,
      entries,
    );
    const answer = await this.send(() =>
      this.context.peers.call(this.member, APPEND, request),
    );
    if (answer === undefined) return false;
    if (answer.success) {
      this.sentCommitIndex = offeredCommitIndex;
      this.advanceMatch(answer.index);
      return true;
    }
    const backedOffIndex = Math.min(this.nextIndex - 1, answer.index + 1);
    this.nextIndex = Math.max(1, backedOffIndex);
    return answer.term <= this.context.term;
  }

  private async sendSnapshot(): Promise<boolean> {
    const {snapshot} = this.context.log;
    const answer = await this.send(() =>
      this.context.peers.call(this.member, INSTALL_SNAPSHOT, {
        ...this.createEnvelope(),
        leader: this.context.self,
        snapshot,
      }),
    );
    if (answer?.success !== true) return false;
    this.advanceMatch(answer.index);
    return true;
  }

  private async send(
    call: () => Promise<Either<PeerError, AppendAnswer>>,
  ): Promise<AppendAnswer | undefined> {
    const {timer, term, onHigherTerm} = this.context;
    const sentAt = timer.now();
    const answer = await call();
    if (this.stopped) return undefined;
    if (answer.isLeft()) {
      const error = answer.extract() as PeerError;
      this.diskMismatch =
        error.kind === 'refused' && error.reason === WRONG_DISK_REASON;
      return undefined;
    }
    const received = answer.unsafeCoerce();
    this.diskMismatch = false;
    this.contactAt = Math.max(this.contactAt, sentAt);
    if (received.answer !== undefined) {
      this.receivedAnswers.add(received.answer, timer.now());
    }
    if (received.term > term) onHigherTerm(received.term);
    else this.context.onContact();
    return received;
  }

  private advanceMatch(index: number): void {
    this.nextIndex = index + 1;
    if (index <= this.matched) return;
    this.matched = index;
    this.context.onMatchAdvanced();
  }

  private createAppendRequest(
    previousIndex: number,
    previousTerm: number,
    entries: readonly LogEntry[],
  ): AppendRequest {
    const commitIndex = this.context.commitIndex();
    // Before it commits its first entry, a leader may not know all entries that
    // its predecessors committed, so its log may not be the newest.
    const confirmedAnswer =
      commitIndex === 0
        ? undefined
        : this.receivedAnswers.newestConfirmed(this.context.quorumContactAt());
    return {
      ...this.createEnvelope(),
      leader: this.context.self,
      previousIndex,
      previousTerm,
      entries: [...entries],
      commitIndex,
      ...(confirmedAnswer === undefined ? {} : {confirmedAnswer}),
    };
  }

  private createEnvelope() {
    const {vote} = this.context.log;
    return {
      cluster: vote.cluster ?? '',
      from: vote.diskId,
      to: this.member.diskId,
      term: this.context.term,
    };
  }
}
