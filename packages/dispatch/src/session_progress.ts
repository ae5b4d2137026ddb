import {TimerService} from '@apricotlock/timer';

/** `identifying` begins once the start-up message was received. */
type SessionStage = 'connecting' | 'identifying' | 'started' | 'ended';

/** What a session is doing; `idle` is between two requests. */
export type SessionActivity =
  'starting' | 'idle' | 'awaitingAnswer' | 'inTransaction' | 'ended';

/** A session's activity, for the log. */
export interface SessionSnapshot {
  readonly activity: SessionActivity;
  /** For how long it has been doing this, in milliseconds. */
  readonly forMilliseconds: number;
  /** The time since the caller connected, in milliseconds. */
  readonly ageMilliseconds: number;
  /** The identifier of the last request that was received. */
  readonly lastRequest: string | undefined;
}

/** Tracks how far a session has come, and the request that it processes. */
export class SessionProgress {
  /** When the caller connected, on the timer's clock. */
  readonly begunAt: number;
  private stage: SessionStage = 'connecting';
  private processingRequest = false;
  private lastRequest: string | undefined;
  private activeSince: number;

  private constructor(private readonly timer: TimerService) {
    this.begunAt = timer.now();
    this.activeSince = this.begunAt;
  }

  /** Creates the progress of a session whose caller has just connected. */
  static create(timer: TimerService): SessionProgress {
    return new SessionProgress(timer);
  }

  /** Whether a request was received and not answered. */
  get processing(): boolean {
    return this.processingRequest;
  }

  /** Whether the caller awaits the confirmation of its start. */
  get identifying(): boolean {
    return this.stage === 'identifying';
  }

  /** Records that the start-up message was received. */
  beginIdentification(): void {
    this.stage = 'identifying';
  }

  /** Records that the caller may send requests. */
  confirmStart(): void {
    this.stage = 'started';
    this.activeSince = this.timer.now();
  }

  /** Records that a request was received. */
  beginRequest(id: string): void {
    this.processingRequest = true;
    this.lastRequest = id;
    this.activeSince = this.timer.now();
  }

  /** Records that the request was answered. */
  endRequest(): void {
    this.processingRequest = false;
    this.activeSince = this.timer.now();
  }

  /** Records that the session has ended. */
  end(): void {
    this.stage = 'ended';
  }

  /** Returns the activity now. */
  activity(inTransaction: boolean): SessionActivity {
    if (this.stage === 'ended') return 'ended';
    if (this.stage !== 'started') return 'starting';
    if (this.processingRequest) return 'awaitingAnswer';
    return inTransaction ? 'inTransaction' : 'idle';
  }

  /** Returns what the session is doing now, for the log. */
  snapshot(inTransaction: boolean): SessionSnapshot {
    const now = this.timer.now();
    return {
      activity: this.activity(inTransaction),
      forMilliseconds: Math.round(now - this.activeSince),
      ageMilliseconds: Math.round(now - this.begunAt),
      lastRequest: this.lastRequest,
    };
  }
}
