import {Either, Left, Right} from 'purify-ts';
import {
  ClassifiedQuery,
  Statement,
  StatementClassifier,
} from '@apricotlock/sql';
import {
  closeStatementMessage,
  Frame,
  FrontendType,
  parseMessage,
  readBind,
  readParse,
  readQuery,
  readTarget,
} from '@apricotlock/wire';

const MESSAGES_A_PREPARATION = 2;

/** A prepared statement that a caller made by name. */
export interface PreparedStatement {
  readonly name: string;
  /** Query and parameter types, as in the caller's Parse. */
  readonly rest: Buffer;
  readonly query: ClassifiedQuery;
}

/** What a caller sent up to one Sync, or one Query. */
export interface RequestBatch {
  readonly statements: readonly Statement[];
  /** Whether some text could not be read as SQL. */
  readonly unparsed: boolean;
  /** The bytes for the member, with what named statements need before. */
  readonly bytes: Buffer;
  /** Messages of the answer that belong to what was put before. */
  readonly hiddenMessages: number;
  /** Whether it leaves prepared statements on the connection. */
  readonly leavesStatements: boolean;
  /** Whether it is one Query of the simple protocol. */
  readonly simple: boolean;
  /** Whether a Sync ends it that stands alone. */
  readonly empty: boolean;
}

/** A message that cannot be served. */
export interface BatchError {
  readonly kind: 'malformed' | 'unknownStatement' | 'unsupportedMessage';
  readonly detail: string;
}

/** A caller's prepared statements; they follow it from member to member. */
export class BatchReader {
  private prepared: ReadonlyMap<string, PreparedStatement> = new Map();

  private constructor(private readonly classifier: StatementClassifier) {}

  /** A reader for a session that has prepared nothing. */
  static create(classifier: StatementClassifier): BatchReader {
    return new BatchReader(classifier);
  }

  /** Reads the messages of one batch. */
  read(frames: readonly Frame[]): Either<BatchError, RequestBatch> {
    const [first] = frames;
    if (frames.length === 1 && first?.type === FrontendType.QUERY) {
      return this.readSimple(first);
    }
    return this.readExtended(frames);
  }

  private readSimple(frame: Frame): Either<BatchError, RequestBatch> {
    return readQuery(frame)
      .mapLeft(malformed)
      .map(text => {
        const query = this.classifier.classify(text);
        return {
          ...summary([query]),
          bytes: frame.bytes,
          hiddenMessages: 0,
          leavesStatements: false,
          simple: true,
          empty: false,
        };
      });
  }

  private readExtended(
    frames: readonly Frame[],
  ): Either<BatchError, RequestBatch> {
    const queries: ClassifiedQuery[] = [];
    const needed = new Map<string, PreparedStatement>();
    const made = new Set<string>();
    for (const frame of frames) {
      const read = this.readMessage(frame);
      if (read.isLeft()) return read as Either<BatchError, never>;
      const {statement, makes, drops} = read.unsafeCoerce();
      if (statement !== undefined) queries.push(statement.query);
      if (makes !== undefined) {
        made.add(makes.name);
        this.remember(makes);
      } else if (statement !== undefined && !made.has(statement.name)) {
        needed.set(statement.name, statement);
      }
      if (drops !== undefined) this.forget(drops);
    }
    const named = [...needed.values()].filter(({name}) => name !== '');
    const preparations = named.flatMap(({name, rest}) => [
      closeStatementMessage(name),
      parseMessage(name, rest),
    ]);
    return Right({
      ...summary(queries),
      bytes: Buffer.concat([
        ...preparations,
        ...frames.map(frame => frame.bytes),
      ]),
      hiddenMessages: named.length * MESSAGES_A_PREPARATION,
      leavesStatements: named.length > 0 || [...made].some(name => name !== ''),
      simple: false,
      empty: frames.length === 1,
    });
  }

  private readMessage(frame: Frame): Either<BatchError, ReadMessage> {
    switch (frame.type) {
      case FrontendType.PARSE:
        return readParse(frame)
          .mapLeft(malformed)
          .map(({statement, query, rest}) => {
            const classified = this.classifier.classify(query);
            const makes = {name: statement, rest, query: classified};
            return {statement: makes, makes};
          });
      case FrontendType.BIND:
        return readBind(frame)
          .mapLeft(malformed)
          .chain(({statement}) => this.known(statement));
      case FrontendType.DESCRIBE:
      case FrontendType.CLOSE:
        return readTarget(frame)
          .mapLeft(malformed)
          .chain(({target, name}): Either<BatchError, ReadMessage> => {
            if (target === 'portal') return Right({});
            if (frame.type === FrontendType.CLOSE) return Right({drops: name});
            return this.known(name);
          });
      case FrontendType.EXECUTE:
      case FrontendType.SYNC:
      case FrontendType.FLUSH:
        return Right({});
      default:
        return Left({
          kind: 'unsupportedMessage',
          detail: String.fromCharCode(frame.type),
        });
    }
  }

  private known(name: string): Either<BatchError, ReadMessage> {
    const statement = this.prepared.get(name);
    if (statement !== undefined) return Right({statement});
    return Left({kind: 'unknownStatement', detail: name});
  }

  private remember(statement: PreparedStatement): void {
    this.prepared = new Map(this.prepared).set(statement.name, statement);
  }

  private forget(name: string): void {
    const rest = new Map(this.prepared);
    rest.delete(name);
    this.prepared = rest;
  }
}

interface ReadMessage {
  readonly statement?: PreparedStatement;
  readonly makes?: PreparedStatement;
  readonly drops?: string;
}

function summary(
  queries: readonly ClassifiedQuery[],
): Pick<RequestBatch, 'statements' | 'unparsed'> {
  return {
    unparsed: queries.some(query => query.kind === 'unparsed'),
    statements: queries.flatMap(query =>
      query.kind === 'parsed' ? query.statements : [],
    ),
  };
}

function malformed(error: {readonly type: number}): BatchError {
  return {kind: 'malformed', detail: String.fromCharCode(error.type)};
}
