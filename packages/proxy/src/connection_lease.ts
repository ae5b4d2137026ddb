import {
  LeaseClient,
  LeaseConversation,
  LeaseOwnerMessage,
  LeaseRefusal,
  LeaseRequest,
} from '@apricotlock/backend';
import {Position} from '@apricotlock/session';
import {TransactionStatus} from '@apricotlock/wire';

/** Statements to run on a member. */
export interface RunRequest {
  readonly bytes: Buffer;
  /** Number of ReadyForQuery messages that end the answers. */
  readonly answers: number;
  /** Whether the connection must be reset before another session uses it. */
  readonly reset: boolean;
}

/**
 * Receives a confirmed part of an answer; the promise resolves when the next
 * part can be accepted.
 */
export type AnswerSink = (part: Buffer) => Promise<void>;

/** Result of running a batch on a lease. */
export type RunResult =
  | {readonly kind: 'refused'; readonly refusal: LeaseRefusal}
  /** The connection to the member or to its owner was lost. */
  | {
      readonly kind: 'lost';
      /** Whether the statements may have reached the member. */
      readonly sent: boolean;
      /** Whether the caller has already received a part of the answer. */
      readonly delivered: boolean;
    }
  | {
      readonly kind: 'finished';
      /** The part of the answer that has not been passed to the sink. */
      readonly answer: Buffer;
      readonly status: TransactionStatus;
      readonly term: number;
      readonly position: Position | undefined;
      /** Whether a majority holds all data that the answer may show. */
      readonly confirmed: boolean;
      readonly delivered: boolean;
    };

/** A connection lease: the use of a member's connection by one session. */
export class ConnectionLease {
  private stream: LeaseConversation | undefined;
  private released = false;

  private constructor(
    private readonly leaseClient: LeaseClient,
    private readonly request: LeaseRequest,
  ) {}

  /** Creates a lease; it is requested together with the first statements. */
  static create(
    leaseClient: LeaseClient,
    request: LeaseRequest,
  ): ConnectionLease {
    return new ConnectionLease(leaseClient, request);
  }

  /**
   * Sends a batch and collects the answer. Parts that a majority has confirmed
   * are passed to the sink at once; the others are returned with the result.
   */
  async run(request: RunRequest, sink: AnswerSink): Promise<RunResult> {
    let delivered = false;
    const stream = this.sendRun(request);
    if (stream === undefined) {
      return {kind: 'lost', sent: false, delivered};
    }
    const parts: Buffer[] = [];
    for (;;) {
      const message = await stream.receive();
      // After a lost link it is unknown whether the owner ran the statements.
      if (message === undefined) return {kind: 'lost', sent: true, delivered};
      switch (message.kind) {
        case 'refused':
          return message;
        case 'granted':
          break;
        case 'answer':
          parts.push(message.bytes);
          if (message.confirmed !== true) break;
          delivered = true;
          await sink(concatenate(parts.splice(0)));
          stream.send({kind: 'more'});
          break;
        case 'lost':
          return {...message, delivered};
        case 'finished':
          return finishedResult(message, parts, delivered);
      }
    }
  }

  /** Requests cancellation of the running statement. */
  cancel(): void {
    this.stream?.send({kind: 'cancel'});
  }

  /** Releases the lease; an open transaction is rolled back. */
  release(): void {
    this.released = true;
    this.stream?.send({kind: 'release'});
    this.stream?.end();
  }

  /** Sends the statements; returns `undefined` if they were not sent. */
  private sendRun(request: RunRequest): LeaseConversation | undefined {
    if (this.released) return undefined;
    const {stream} = this;
    if (stream === undefined) {
      const first = {kind: 'run', ...request} as const;
      this.stream = this.leaseClient.lease({...this.request, first});
      return this.stream;
    }
    const sent = stream.send({kind: 'run', ...request});
    return sent ? stream : undefined;
  }
}

function finishedResult(
  message: Extract<LeaseOwnerMessage, {kind: 'finished'}>,
  parts: Buffer[],
  delivered: boolean,
): RunResult {
  if (message.answer !== undefined) parts.push(message.answer);
  return {...message, answer: concatenate(parts), delivered};
}

function concatenate(parts: readonly Buffer[]): Buffer {
  const [only] = parts;
  return parts.length === 1 ? (only as Buffer) : Buffer.concat(parts);
}
