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
import {ControlMember} from './control_configuration.js';
import {ControlPeers} from './control_peers.js';
import {DurableLog} from './durable_log.js';
import {LogEntry} from './log_entry.js';

const ENTRIES_A_CALL = 16;

/** Refuses a message that is meant for another disk. */
export const OTHER_DISK = 'this VM has another disk';

/** What a leader's tasks share. */
export interface LeaderContext {
  readonly log: DurableLog;
  readonly peers: ControlPeers;
  readonly timer: TimerService;
  readonly heartbeatMilliseconds: number;
  readonly self: string;
  readonly term: number;
  readonly commitIndex: () => number;
  /** Somebody has synced more. */
  readonly progressed: () => void;
  readonly higherTerm: (term: number) => void;
}

/** A leader's task for one other control VM: brings its log up to date. */
export class Replicator {
  private nextIndex: number;
  private matched = 0;
  private heardSince: number;
  private committedTold = -1;
  private otherDiskSeen = false;
  private stopped = false;
  private waking = Deferred.create<void>();

  private constructor(
    readonly member: ControlMember,
    private readonly context: LeaderContext,
  ) {
    this.nextIndex = context.log.last.index + 1;
    this.heardSince = context.timer.now();
  }

  /** Starts the task. */
  static start(member: ControlMember, context: LeaderContext): Replicator {
    const replicator = new Replicator(member, context);
    void replicator.replicate();
    void replicator.keepAlive();
    return replicator;
  }

  /** The newest place that the other VM has synced. */
  get matchIndex(): number {
    return this.matched;
  }

  /** When the newest answered message was sent. */
  get heardAt(): number {
    return this.heardSince;
  }

  /** Whether the other VM came back without the disk that is meant. */
  get hasOtherDisk(): boolean {
    return this.otherDiskSeen;
  }

  /** There is something to send. */
  wake(): void {
    this.waking.resolve();
  }

  /** Ends the task. */
  stop(): void {
    this.stopped = true;
    this.wake();
  }

  private async replicate(): Promise<void> {
    while (!this.stopped) {
      this.waking = Deferred.create<void>();
      const done = await this.sendNext();
      if (this.stopped) return;
      if (!done) {
        await this.context.timer.sleep(this.context.heartbeatMilliseconds);
      } else if (!this.hasMore()) {
        await this.waking.promise;
      }
    }
  }

  /** Tells of the leader while a slow disk holds the entries' answer up. */
  private async keepAlive(): Promise<void> {
    const {timer, heartbeatMilliseconds} = this.context;
    while (!this.stopped) {
      await timer.sleep(heartbeatMilliseconds);
      if (!this.stopped) void this.sendHeartbeat();
    }
  }

  private hasMore(): boolean {
    const {log, commitIndex} = this.context;
    return (
      this.nextIndex <= log.last.index || this.committedTold < commitIndex()
    );
  }

  private async sendNext(): Promise<boolean> {
    const {log, commitIndex} = this.context;
    const previousTerm = log.termAt(this.nextIndex - 1);
    const entries = log.entriesFrom(this.nextIndex, ENTRIES_A_CALL);
    if (previousTerm === undefined || entries === undefined) {
      return this.sendSnapshot();
    }
    const told = commitIndex();
    const request = this.request(this.nextIndex - 1, previousTerm, entries);
    const answer = await this.send(() =>
      this.context.peers.call(this.member, APPEND, request),
    );
    if (answer === undefined) return false;
    if (answer.success) {
      this.committedTold = told;
      this.agreedTo(answer.index);
      return true;
    }
    const before = Math.min(this.nextIndex - 1, answer.index + 1);
    this.nextIndex = Math.max(1, before);
    return answer.term <= this.context.term;
  }

  private async sendSnapshot(): Promise<boolean> {
    const {snapshot} = this.context.log;
    const answer = await this.send(() =>
      this.context.peers.call(this.member, INSTALL_SNAPSHOT, {
        ...this.envelope(),
        leader: this.context.self,
        snapshot,
      }),
    );
    if (answer?.success !== true) return false;
    this.agreedTo(answer.index);
    return true;
  }

  private async sendHeartbeat(): Promise<void> {
    const {log} = this.context;
    const term = log.termAt(this.matched);
    const place =
      term === undefined ? log.snapshot : {index: this.matched, term};
    const request = this.request(place.index, place.term, []);
    await this.send(() =>
      this.context.peers.call(this.member, APPEND, request),
    );
  }

  private async send(
    call: () => Promise<Either<PeerError, AppendAnswer>>,
  ): Promise<AppendAnswer | undefined> {
    const {timer, term, higherTerm} = this.context;
    const sentAt = timer.now();
    const answer = await call();
    if (this.stopped) return undefined;
    if (answer.isLeft()) {
      const error = answer.extract() as PeerError;
      this.otherDiskSeen =
        error.kind === 'refused' && error.reason === OTHER_DISK;
      return undefined;
    }
    const heard = answer.unsafeCoerce();
    this.otherDiskSeen = false;
    this.heardSince = Math.max(this.heardSince, sentAt);
    if (heard.term > term) higherTerm(heard.term);
    return heard;
  }

  private agreedTo(index: number): void {
    this.nextIndex = index + 1;
    if (index <= this.matched) return;
    this.matched = index;
    this.context.progressed();
  }

  private request(
    previousIndex: number,
    previousTerm: number,
    entries: readonly LogEntry[],
  ): AppendRequest {
    return {
      ...this.envelope(),
      leader: this.context.self,
      previousIndex,
      previousTerm,
      entries: [...entries],
      commitIndex: this.context.commitIndex(),
    };
  }

  private envelope() {
    const {vote} = this.context.log;
    return {
      cluster: vote.cluster ?? '',
      from: vote.diskId,
      to: this.member.diskId,
      term: this.context.term,
    };
  }
}
