import {Either, Left, Right} from 'purify-ts';
import {
  CallerFailure,
  PreparedStatement,
  SessionValues,
  Statement,
} from '@apricotlock/statement';
import {WorkText} from '@apricotlock/work';

const MAXIMUM_VALUES = 1_000;
const MAXIMUM_PREPARED = 10_000;

/** A statement that a member has to run. */
export interface Forwarded {
  readonly text: WorkText;
  readonly readOnly: boolean;
  readonly commits: boolean;
}

/**
 * What a session has set and prepared. It lives here alone: members get what a
 * statement needs along with it.
 */
export class SessionContext {
  /** A session that has just begun. */
  static readonly EMPTY = new SessionContext(new Map(), new Map());

  private constructor(
    private readonly valuesHeld: SessionValues,
    private readonly prepared: ReadonlyMap<string, PreparedStatement>,
  ) {}

  /** The values, in the form in which they travel. */
  get values(): ReadonlyArray<readonly [name: string, value: string]> {
    return [...this.valuesHeld];
  }

  /** The context with a value set. */
  withValue(
    name: string,
    value: string,
  ): Either<CallerFailure, SessionContext> {
    const {valuesHeld, prepared} = this;
    if (!valuesHeld.has(name) && valuesHeld.size >= MAXIMUM_VALUES) {
      return malformed('too many values are set');
    }
    const values = new Map([...valuesHeld, [name, value]]);
    return Right(new SessionContext(values, prepared));
  }

  /** The context with a statement prepared under a name. */
  withPrepared(
    name: string,
    statement: PreparedStatement,
  ): Either<CallerFailure, SessionContext> {
    if (this.prepared.size >= MAXIMUM_PREPARED) {
      return malformed('too many statements are prepared');
    }
    const prepared = new Map([...this.prepared, [name, statement]]);
    return Right(new SessionContext(this.valuesHeld, prepared));
  }

  /** The context without a prepared name. */
  without(name: string): Either<CallerFailure, SessionContext> {
    if (!this.prepared.has(name)) return Left({kind: 'unknownStatement', name});
    const prepared = new Map(
      [...this.prepared].filter(([known]) => known !== name),
    );
    return Right(new SessionContext(this.valuesHeld, prepared));
  }

  /** What a member has to be sent for a statement. */
  forwarded(statement: Statement): Either<CallerFailure, Forwarded> {
    switch (statement.kind) {
      case 'plain': {
        const {text, access} = statement;
        const readOnly = access === 'read';
        return Right({
          text: {kind: 'plain', text},
          readOnly,
          commits: false,
        });
      }
      case 'commit': {
        const text: WorkText = {kind: 'plain', text: statement.text};
        return Right({text, readOnly: true, commits: true});
      }
      case 'execute':
        return this.executed(statement.name, statement.parameters);
      default:
        return malformed('not a statement for a member');
    }
  }

  private executed(
    name: string,
    parameters: string,
  ): Either<CallerFailure, Forwarded> {
    const prepared = this.prepared.get(name);
    if (prepared === undefined) return Left({kind: 'unknownStatement', name});
    const {access, shape} = prepared;
    return Right({
      text: {kind: 'prepared', access, shape, parameters},
      readOnly: access === 'read',
      commits: false,
    });
  }
}

function malformed(reason: string): Either<CallerFailure, never> {
  return Left({kind: 'malformed', reason});
}
