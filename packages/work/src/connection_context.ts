import {createHash} from 'node:crypto';
import {Access, MemberCommand} from '@apricotlock/statement';
import {WorkText} from './work_messages.js';

/** Prepared statements that one connection keeps before it is reset. */
const MAXIMUM_PREPARED = 200;
const PLAIN_SHAPE = /^[A-Za-z0-9_]{1,40}$/;

/** Values by name. */
type Values = ReadonlyMap<string, string>;

/**
 * What sessions have left on a connection to a member. A connection serves
 * many sessions, and each must find its own values there, no more and no less.
 * Prepared statements are named after what they stand for, so that sessions
 * with the same statement share it and their own names can't collide.
 *
 * Immutable: each change gives the next context.
 */
export class ConnectionContext {
  /** Nothing set, nothing prepared. */
  static readonly EMPTY = new ConnectionContext(new Map(), new Set());

  private constructor(
    private readonly values: Values,
    private readonly prepared: ReadonlySet<string>,
  ) {}

  /** What has to be sent before a statement, and the context after it. */
  prepareFor(wanted: Values, text: WorkText): ContextChange {
    const excess = [...this.values.keys()].some(name => !wanted.has(name));
    const full = this.prepared.size >= MAXIMUM_PREPARED;
    const reset = excess || full;
    const before = reset ? ConnectionContext.EMPTY : this;
    const commands: MemberCommand[] = reset ? [{kind: 'reset'}] : [];
    for (const [name, value] of wanted) {
      if (before.values.get(name) === value) continue;
      commands.push({kind: 'setValue', name, value});
    }
    const prepared = new Set(before.prepared);
    if (text.kind === 'prepared') {
      const {access, shape} = text;
      const name = preparedName(access, shape);
      if (!prepared.has(name)) {
        commands.push({kind: 'prepare', name, access, shape});
        prepared.add(name);
      }
    }
    return {commands, after: new ConnectionContext(wanted, prepared)};
  }

  /** Whether a session with these values needs no reset on the connection. */
  suits(wanted: Values): boolean {
    return [...this.values.keys()].every(name => wanted.has(name));
  }
}

/** What brings a connection from one context to another. */
export interface ContextChange {
  readonly commands: readonly MemberCommand[];
  readonly after: ConnectionContext;
}

/** The name under which a statement is prepared on every connection. */
export function preparedName(access: Access, shape: string): string {
  const plain = PLAIN_SHAPE.test(shape);
  // A shape of any other form could not stand in a name.
  const name = plain ? shape : createHash('sha1').update(shape).digest('hex');
  return `${access}_${plain ? 'plain' : 'hashed'}_${name}`;
}
