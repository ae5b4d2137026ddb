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

/** A statement in the form in which it is sent to a member. */
export interface ForwardedStatement {
  readonly text: WorkText;
  readonly readOnly: boolean;
  readonly commits: boolean;
}

/**
 * The values and prepared statements of a session. They are stored only on the
 * VM that serves the session: each request to a member carries those that the
 * statement needs.
 */
export class SessionContext {
  /** The context of a new session. */
  static readonly EMPTY = new SessionContext(new Map(), new Map());

  private constructor(
    private readonly sessionValues: SessionValues,
    private readonly prepared: ReadonlyMap<string, PreparedStatement>,
  ) {}

  /** The values, in the form in which they are sent to members. */
  get values(): ReadonlyArray<readonly [name: string, value: string]> {
    return [...this.sessionValues];
  }

  /** Returns the context with a value set. */
  withValue(
    name: string,
    value: string,
  ): Either<CallerFailure, SessionContext> {
    const {sessionValues, prepared} = this;
    if (!sessionValues.has(name) && sessionValues.size >= MAXIMUM_VALUES) {
      return malformed('too many session values are set');
    }
    const values = new Map([...sessionValues, [name, value]]);
    return Right(new SessionContext(values, prepared));
  }

  /** Returns the context with a statement prepared under a name. */
  withPrepared(
    name: string,
    statement: PreparedStatement,
  ): Either<CallerFailure, SessionContext> {
    if (this.prepared.size >= MAXIMUM_PREPARED) {
      return malformed('too many statements are prepared');
    }
    const prepared = new Map([...this.prepared, [name, statement]]);
    return Right(new SessionContext(this.sessionValues, prepared));
  }

  /** Returns the context without a prepared statement. */
  withoutPrepared(name: string): Either<CallerFailure, SessionContext> {
    if (!this.prepared.has(name)) return Left({kind: 'unknownStatement', name});
    const prepared = new Map(
      [...this.prepared].filter(([preparedName]) => preparedName !== name),
    );
    return Right(new SessionContext(this.sessionValues, prepared));
  }

  /** Returns the form of a statement to send to a member. */
  toForwarded(statement: Statement): Either<CallerFailure, ForwardedStatement> {
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
        return this.expandPrepared(statement.name, statement.parameters);
      default:
        return malformed('the statement cannot be sent to a member');
    }
  }

  private expandPrepared(
    name: string,
    parameters: string,
  ): Either<CallerFailure, ForwardedStatement> {
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
