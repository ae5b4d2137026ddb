import {LeaseConversation, LeaseRefusal} from '@apricotlock/backend';
import {Position} from '@apricotlock/session';
import {TransactionStatus} from '@apricotlock/wire';
import {RequestBatch} from './request_batch.js';

/** How a batch ended. */
export type RunResult =
  | {readonly kind: 'refused'; readonly refusal: LeaseRefusal}
  /** The connection, or the link to the owner, was lost. */
  | {readonly kind: 'lost'; readonly sent: boolean}
  | {
      readonly kind: 'finished';
      readonly answer: Buffer;
      readonly status: TransactionStatus;
      readonly term: number;
      readonly position: Position | undefined;
      readonly confirmed: boolean;
    };

/** A lease in the hands of a caller's session. */
export class LeaseHolder {
  private granted = false;

  private constructor(private readonly conversation: LeaseConversation) {}

  /** Holds the lease that `conversation` asks for. */
  static of(conversation: LeaseConversation): LeaseHolder {
    return new LeaseHolder(conversation);
  }

  /** Sends a batch and collects the whole answer. */
  async run(batch: RequestBatch): Promise<RunResult> {
    const sent = this.conversation.send({
      kind: 'run',
      bytes: batch.bytes,
      answers: 1,
      reset: batch.leavesStatements,
    });
    if (!sent) return {kind: 'lost', sent: this.granted};
    const parts: Buffer[] = [];
    for (;;) {
      const message = await this.conversation.receive();
      // A lost link tells nothing of whether the owner had begun.
      if (message === undefined) return {kind: 'lost', sent: true};
      switch (message.kind) {
        case 'refused':
          return message;
        case 'granted':
          this.granted = true;
          break;
        case 'answer':
          parts.push(message.bytes);
          break;
        case 'lost':
          return message;
        case 'finished':
          return {...message, answer: Buffer.concat(parts)};
      }
    }
  }

  /** Gives the lease back; an open transaction is rolled back. */
  release(): void {
    this.conversation.send({kind: 'release'});
    this.conversation.end();
  }
}
