import {Either, Left, Right} from 'purify-ts';
import {
  ClassifiedQuery,
  Statement,
  StatementClassifier,
} from '@apricotlock/sql';
import {
  bindMessage,
  describeStatementMessage,
  Frame,
  FrontendType,
  MessageError,
  parseMessage,
  readBind,
  readParse,
  readQuery,
  readTarget,
} from '@apricotlock/wire';
import {executes} from './local_answer.js';

/**
 * Name of the unnamed statement, the only prepared statement that the proxy
 * uses on connections to members.
 */
const UNNAMED = '';
const NO_HIDDEN_PARSES: ReadonlySet<number> = new Set();

/** A statement that the caller has prepared. */
export interface PreparedStatement {
  readonly name: string;
  /** Query and parameter types, as encoded in the caller's Parse. */
  readonly rest: Buffer;
  readonly query: ClassifiedQuery;
}

/** A statement prepared by the caller in this batch. */
export interface CreatedStatement {
  /** Index of its Parse among all Parse messages sent to the member. */
  readonly parseIndex: number;
  readonly name: string;
}

/** Messages of a caller up to and including a Sync, or a single Query. */
export interface RequestBatch {
  readonly frames: readonly Frame[];
  readonly statements: readonly Statement[];
  /** Whether the text of a query could not be parsed as SQL. */
  readonly unparsed: boolean;
  /** Bytes for the member, including the Parse messages that the proxy adds. */
  readonly bytes: Buffer;
  /** Indexes of the Parse messages that the proxy adds. */
  readonly hiddenParses: ReadonlySet<number>;
  /** Statements that the caller prepares in this batch. */
  readonly created: readonly CreatedStatement[];
  /** Whether the batch is a Query of the simple protocol. */
  readonly simple: boolean;
  /** Whether the batch runs a statement and not only prepares or describes. */
  readonly executes: boolean;
}

/** Reason why the messages of a batch cannot be served. */
export interface BatchError {
  readonly kind: 'malformed' | 'unknownStatement' | 'unsupportedMessage';
  /** The statement name for `unknownStatement`, else the message type. */
  readonly detail: string;
}

/**
 * Reads batches and stores the prepared statements of one session. On a member
 * a statement is prepared as the unnamed statement just before it is used. A
 * session can therefore use any connection, and leaves no statements on it.
 */
export class BatchReader {
  private readonly prepared = new Map<string, PreparedStatement>();

  private constructor(private readonly classifier: StatementClassifier) {}

  /** Creates a reader without prepared statements. */
  static create(classifier: StatementClassifier): BatchReader {
    return new BatchReader(classifier);
  }

  /** Reads the messages of one batch; stores the statements it prepares. */
  read(frames: readonly Frame[]): Either<BatchError, RequestBatch> {
    const [first] = frames;
    if (frames.length === 1 && first?.type === FrontendType.QUERY) {
      return this.readSimple(first);
    }
    return BatchWriter.write(frames, this.prepared, this.classifier);
  }

  /**
   * Removes the statements of a batch whose Parse failed or was not run, given
   * how many Parse messages the member has completed.
   */
  prune(batch: RequestBatch, parsedCount: number): void {
    for (const {parseIndex, name} of batch.created) {
      if (parseIndex >= parsedCount) this.prepared.delete(name);
    }
  }

  /** Removes all prepared statements. */
  clear(): void {
    this.prepared.clear();
  }

  private readSimple(frame: Frame): Either<BatchError, RequestBatch> {
    return readQuery(frame)
      .mapLeft(malformedMessage)
      .map(text => ({
        ...summarizeQueries([this.classifier.classify(text)]),
        frames: [frame],
        bytes: frame.bytes,
        hiddenParses: NO_HIDDEN_PARSES,
        created: [],
        simple: true,
        executes: true,
      }));
  }
}

/** Builds the bytes for the member from a batch of the extended protocol. */
class BatchWriter {
  private readonly queries: ClassifiedQuery[] = [];
  private readonly output: Buffer[] = [];
  private readonly hiddenParses = new Set<number>();
  private readonly created: CreatedStatement[] = [];
  private parseCount = 0;
  /** Name of the caller's statement that is the member's unnamed statement. */
  private currentName: string | undefined;

  private constructor(
    private readonly prepared: Map<string, PreparedStatement>,
    private readonly classifier: StatementClassifier,
  ) {}

  static write(
    frames: readonly Frame[],
    prepared: Map<string, PreparedStatement>,
    classifier: StatementClassifier,
  ): Either<BatchError, RequestBatch> {
    const writer = new BatchWriter(prepared, classifier);
    for (const frame of frames) {
      const added = writer.add(frame);
      if (added.isLeft()) return added as Either<BatchError, never>;
    }
    const {queries, output, hiddenParses, created} = writer;
    return Right({
      ...summarizeQueries(queries),
      frames,
      bytes: Buffer.concat(output),
      hiddenParses,
      created,
      simple: false,
      executes: executes(frames),
    });
  }

  private add(frame: Frame): Either<BatchError, unknown> {
    switch (frame.type) {
      case FrontendType.PARSE:
        return this.parse(frame);
      case FrontendType.BIND:
        return this.bind(frame);
      case FrontendType.DESCRIBE:
        return this.describe(frame);
      case FrontendType.CLOSE:
        return this.close(frame);
      case FrontendType.EXECUTE:
      case FrontendType.SYNC:
        this.output.push(frame.bytes);
        return Right(undefined);
      case FrontendType.FLUSH:
        return Right(undefined);
      default:
        return Left({
          kind: 'unsupportedMessage',
          detail: String.fromCharCode(frame.type),
        });
    }
  }

  private parse(frame: Frame): Either<BatchError, unknown> {
    return readParse(frame)
      .mapLeft(malformedMessage)
      .ifRight(({statement: name, query, rest}) => {
        const classified = this.classifier.classify(query);
        this.prepared.set(name, {name, rest, query: classified});
        this.queries.push(classified);
        this.created.push({parseIndex: this.parseCount, name});
        this.parseCount += 1;
        this.currentName = name;
        this.output.push(
          name === UNNAMED ? frame.bytes : parseMessage(UNNAMED, rest),
        );
      });
  }

  private bind(frame: Frame): Either<BatchError, unknown> {
    return readBind(frame)
      .mapLeft(malformedMessage)
      .chain(({portal, statement, rest}) =>
        this.ensureCurrent(statement).ifRight(() => {
          this.output.push(
            statement === UNNAMED
              ? frame.bytes
              : bindMessage(portal, UNNAMED, rest),
          );
        }),
      );
  }

  private describe(frame: Frame): Either<BatchError, unknown> {
    return readTarget(frame)
      .mapLeft(malformedMessage)
      .chain(({target, name}): Either<BatchError, unknown> => {
        if (target === 'portal' || name === UNNAMED) {
          const prepared =
            target === 'portal' ? Right(true) : this.ensureCurrent(name);
          return prepared.ifRight(() => this.output.push(frame.bytes));
        }
        return this.ensureCurrent(name).ifRight(() => {
          this.output.push(describeStatementMessage(UNNAMED));
        });
      });
  }

  /**
   * Passes Close on even though members have no named statements: closing a
   * statement that does not exist is not an error.
   */
  private close(frame: Frame): Either<BatchError, unknown> {
    return readTarget(frame)
      .mapLeft(malformedMessage)
      .ifRight(({target, name}) => {
        if (target === 'statement') {
          this.prepared.delete(name);
          if (name === UNNAMED) this.currentName = undefined;
        }
        this.output.push(frame.bytes);
      });
  }

  /** Adds a Parse if `name` is not the member's unnamed statement already. */
  private ensureCurrent(name: string): Either<BatchError, unknown> {
    const statement = this.prepared.get(name);
    if (statement === undefined) {
      return Left({kind: 'unknownStatement', detail: name});
    }
    if (this.currentName === name) return Right(undefined);
    this.queries.push(statement.query);
    this.hiddenParses.add(this.parseCount);
    this.parseCount += 1;
    this.currentName = name;
    this.output.push(parseMessage(UNNAMED, statement.rest));
    return Right(undefined);
  }
}

function summarizeQueries(
  queries: readonly ClassifiedQuery[],
): Pick<RequestBatch, 'statements' | 'unparsed'> {
  return {
    unparsed: queries.some(query => query.kind === 'unparsed'),
    statements: queries.flatMap(query =>
      query.kind === 'parsed' ? query.statements : [],
    ),
  };
}

function malformedMessage(error: MessageError): BatchError {
  return {kind: 'malformed', detail: String.fromCharCode(error.type)};
}
