import {createHash} from 'node:crypto';
import {Access, MemberCommand} from '@apricotlock/statement';
import {WorkText} from './work_messages.js';

/** A connection with this many prepared statements is reset before reuse. */
const MAXIMUM_PREPARED_STATEMENTS = 200;
/** Shapes that can be part of a prepared name without being hashed. */
const IDENTIFIER_SHAPE_PATTERN = /^[A-Za-z0-9_]{1,40}$/;

/** The values that a session has set, by name. */
type SessionValues = ReadonlyMap<string, string>;

/**
 * The session values and prepared statements that exist on a connection to a
 * member. A connection serves many sessions, and each session must find exactly
 * its own values there. Prepared statements are named after their definitions,
 * so that sessions share equal statements and the names that sessions choose
 * cannot collide.
 *
 * Instances are immutable; each transition produces a new context.
 */
export class ConnectionContext {
  /** The context of a new connection, without values or statements. */
  static readonly EMPTY = new ConnectionContext(new Map(), new Set());

  private constructor(
    private readonly values: SessionValues,
    private readonly prepared: ReadonlySet<string>,
  ) {}

  /**
   * Returns the commands that have to precede a statement of a session with the
   * given values, and the context that results from them.
   */
  prepareFor(wanted: SessionValues, text: WorkText): ContextTransition {
    const hasExtraValues = [...this.values.keys()].some(
      name => !wanted.has(name),
    );
    const isFull = this.prepared.size >= MAXIMUM_PREPARED_STATEMENTS;
    const reset = hasExtraValues || isFull;
    const current = reset ? ConnectionContext.EMPTY : this;
    const commands: MemberCommand[] = reset ? [{kind: 'reset'}] : [];
    for (const [name, value] of wanted) {
      if (current.values.get(name) === value) continue;
      commands.push({kind: 'setValue', name, value});
    }
    const prepared = new Set(current.prepared);
    if (text.kind === 'prepared') {
      const {access, shape} = text;
      const name = preparedName(access, shape);
      if (!prepared.has(name)) {
        commands.push({kind: 'prepare', name, access, shape});
        prepared.add(name);
      }
    }
    return {commands, nextContext: new ConnectionContext(wanted, prepared)};
  }

  /** Returns whether a session with these values can do without a reset. */
  isReusableFor(wanted: SessionValues): boolean {
    return [...this.values.keys()].every(name => wanted.has(name));
  }
}

/** The commands that lead to another context, and that context. */
export interface ContextTransition {
  readonly commands: readonly MemberCommand[];
  readonly nextContext: ConnectionContext;
}

/**
 * Returns the name under which a statement is prepared on every connection. It
 * depends only on the access and shape of the statement.
 */
export function preparedName(access: Access, shape: string): string {
  const isIdentifier = IDENTIFIER_SHAPE_PATTERN.test(shape);
  // Other shapes may contain characters that are invalid in a name.
  const name = isIdentifier
    ? shape
    : createHash('sha1').update(shape).digest('hex');
  return `${access}_${isIdentifier ? 'plain' : 'hashed'}_${name}`;
}
