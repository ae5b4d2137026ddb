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

/** The one prepared statement that a connection keeps between messages. */
const UNNAMED = '';
const NO_NUMBERS: ReadonlySet<number> = new Set();

/** A prepared statement that a caller made. */
export interface PreparedStatement {
  readonly name: string;
  /** Query and parameter types, as in the caller's Parse. */
  readonly rest: Buffer;
  readonly query: ClassifiedQuery;
}

/** A Parse of the caller's own: its number among the batch's Parse messages. */
export interface MadeStatement {
  readonly number: number;
  readonly name: string;
}

/** What a caller sent up to one Sync, or one Query. */
export interface RequestBatch {
  readonly frames: readonly Frame[];
  readonly statements: readonly Statement[];
  /** Whether some text could not be read as SQL. */
  readonly unparsed: boolean;
  /** The bytes for the member, with what prepared statements need before. */
  readonly bytes: Buffer;
  /** Numbers of the Parse messages that the caller did not send. */
  readonly hidden: ReadonlySet<number>;
  readonly made: readonly MadeStatement[];
  /** Whether it is one Query of the simple protocol. */
  readonly simple: boolean;
  /** Whether it runs anything, and does not only prepare or describe. */
  readonly executes: boolean;
}

/** A message that cannot be served. */
export interface BatchError {
  readonly kind: 'malformed' | 'unknownStatement' | 'unsupportedMessage';
  readonly detail: string;
}

/**
 * Reads batches, and keeps a caller's prepared statements. On a member they
 * are all prepared without a name, just before they are used: so they follow
 * the caller from connection to connection and leave nothing behind on any.
 */
export class BatchReader {
  private readonly prepared = new Map<string, PreparedStatement>();

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
    return BatchWriter.write(frames, this.prepared, this.classifier);
  }

  /** Forgets the statements whose Parse the member did not carry out. */
  settle(batch: RequestBatch, parsed: number): void {
    for (const {number, name} of batch.made) {
      if (number >= parsed) this.prepared.delete(name);
    }
  }

  /** Forgets all statements. */
  forgetAll(): void {
    this.prepared.clear();
  }

  private readSimple(frame: Frame): Either<BatchError, RequestBatch> {
    return readQuery(frame)
      .mapLeft(malformed)
      .map(text => ({
        ...summary([this.classifier.classify(text)]),
        frames: [frame],
        bytes: frame.bytes,
        hidden: NO_NUMBERS,
        made: [],
        simple: true,
        executes: true,
      }));
  }
}

/** Writes what a member is sent for one batch of the extended protocol. */
class BatchWriter {
  private readonly queries: ClassifiedQuery[] = [];
  private readonly out: Buffer[] = [];
  private readonly hidden = new Set<number>();
  private readonly made: MadeStatement[] = [];
  private parses = 0;
  /** Which of the caller's statements the member's unnamed one is now. */
  private current: string | undefined;

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
      const written = writer.add(frame);
      if (written.isLeft()) return written as Either<BatchError, never>;
    }
    const {queries, out, hidden, made} = writer;
    return Right({
      ...summary(queries),
      frames,
      bytes: Buffer.concat(out),
      hidden,
      made,
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
        this.out.push(frame.bytes);
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
      .mapLeft(malformed)
      .ifRight(({statement: name, query, rest}) => {
        const classified = this.classifier.classify(query);
        this.prepared.set(name, {name, rest, query: classified});
        this.queries.push(classified);
        this.made.push({number: this.parses, name});
        this.parses += 1;
        this.current = name;
        this.out.push(
          name === UNNAMED ? frame.bytes : parseMessage(UNNAMED, rest),
        );
      });
  }

  private bind(frame: Frame): Either<BatchError, unknown> {
    return readBind(frame)
      .mapLeft(malformed)
      .chain(({portal, statement, rest}) =>
        this.use(statement).ifRight(() => {
          this.out.push(
            statement === UNNAMED
              ? frame.bytes
              : bindMessage(portal, UNNAMED, rest),
          );
        }),
      );
  }

  private describe(frame: Frame): Either<BatchError, unknown> {
    return readTarget(frame)
      .mapLeft(malformed)
      .chain(({target, name}): Either<BatchError, unknown> => {
        if (target === 'portal' || name === UNNAMED) {
          const known = target === 'portal' ? Right(true) : this.use(name);
          return known.ifRight(() => this.out.push(frame.bytes));
        }
        return this.use(name).ifRight(() => {
          this.out.push(describeStatementMessage(UNNAMED));
        });
      });
  }

  /** A member knows no named statement; Close of none is not an error. */
  private close(frame: Frame): Either<BatchError, unknown> {
    return readTarget(frame)
      .mapLeft(malformed)
      .ifRight(({target, name}) => {
        if (target === 'statement') {
          this.prepared.delete(name);
          if (name === UNNAMED) this.current = undefined;
        }
        this.out.push(frame.bytes);
      });
  }

  /** Makes the member's unnamed statement the caller's `name`. */
  private use(name: string): Either<BatchError, unknown> {
    const statement = this.prepared.get(name);
    if (statement === undefined) {
      return Left({kind: 'unknownStatement', detail: name});
    }
    if (this.current === name) return Right(undefined);
    this.queries.push(statement.query);
    this.hidden.add(this.parses);
    this.parses += 1;
    this.current = name;
    this.out.push(parseMessage(UNNAMED, statement.rest));
    return Right(undefined);
  }
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

function malformed(error: MessageError): BatchError {
  return {kind: 'malformed', detail: String.fromCharCode(error.type)};
}
