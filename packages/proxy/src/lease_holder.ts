import {
  BackendGate,
  LeaseConversation,
  LeaseDown,
  LeaseRefusal,
  LeaseRequest,
} from '@apricotlock/backend';
import {Position} from '@apricotlock/session';
import {TransactionStatus} from '@apricotlock/wire';

/** What a member is to be sent. */
export interface RunRequest {
  readonly bytes: Buffer;
  /** How many times the member will say that it is ready. */
  readonly answers: number;
  /** Whether the connection must be reset before anybody else has it. */
  readonly reset: boolean;
}

/** Takes a part of an answer that may be shown; resolves when it has room. */
export type AnswerSink = (part: Buffer) => Promise<void>;

/** How a batch ended. */
export type RunResult =
  | {readonly kind: 'refused'; readonly refusal: LeaseRefusal}
  /** The connection, or the link to the owner, was lost. */
  | {
      readonly kind: 'lost';
      readonly sent: boolean;
      /** Whether the caller has got a part of the answer already. */
      readonly partTold: boolean;
    }
  | {
      readonly kind: 'finished';
      /** What of the answer has not been passed on yet. */
      readonly answer: Buffer;
      readonly status: TransactionStatus;
      readonly term: number;
      readonly position: Position | undefined;
      readonly confirmed: boolean;
      readonly partTold: boolean;
    };

/** A lease in the hands of a caller's session. */
export class LeaseHolder {
  private conversation: LeaseConversation | undefined;
  private released = false;

  private constructor(
    private readonly gate: BackendGate,
    private readonly request: LeaseRequest,
  ) {}

  /** A lease that is asked for together with its first statements. */
  static create(gate: BackendGate, request: LeaseRequest): LeaseHolder {
    return new LeaseHolder(gate, request);
  }

  /**
   * Sends a batch and collects the answer. Parts whose contents are confirmed
   * are passed on as they come; all others only with the end.
   */
  async run(request: RunRequest, sink: AnswerSink): Promise<RunResult> {
    let partTold = false;
    const conversation = this.begin(request);
    if (conversation === undefined) {
      return {kind: 'lost', sent: false, partTold};
    }
    const parts: Buffer[] = [];
    for (;;) {
      const message = await conversation.receive();
      // A lost link tells nothing of whether the owner had begun.
      if (message === undefined) return {kind: 'lost', sent: true, partTold};
      switch (message.kind) {
        case 'refused':
          return message;
        case 'granted':
          break;
        case 'answer':
          parts.push(message.bytes);
          if (message.confirmed !== true) break;
          partTold = true;
          await sink(joined(parts.splice(0)));
          conversation.send({kind: 'more'});
          break;
        case 'lost':
          return {...message, partTold};
        case 'finished':
          return finished(message, parts, partTold);
      }
    }
  }

  /** Asks for the statement under way to be cancelled. */
  cancel(): void {
    this.conversation?.send({kind: 'cancel'});
  }

  /** Gives the lease back; an open transaction is rolled back. */
  release(): void {
    this.released = true;
    this.conversation?.send({kind: 'release'});
    this.conversation?.end();
  }

  /** Sends the statements; gives nothing if they surely were not sent. */
  private begin(request: RunRequest): LeaseConversation | undefined {
    if (this.released) return undefined;
    const {conversation} = this;
    if (conversation === undefined) {
      const first = {kind: 'run', ...request} as const;
      this.conversation = this.gate.lease({...this.request, first});
      return this.conversation;
    }
    const sent = conversation.send({kind: 'run', ...request});
    return sent ? conversation : undefined;
  }
}

function finished(
  message: Extract<LeaseDown, {kind: 'finished'}>,
  parts: Buffer[],
  partTold: boolean,
): RunResult {
  if (message.answer !== undefined) parts.push(message.answer);
  return {...message, answer: joined(parts), partTold};
}

function joined(parts: readonly Buffer[]): Buffer {
  const [only] = parts;
  return parts.length === 1 ? (only as Buffer) : Buffer.concat(parts);
}
