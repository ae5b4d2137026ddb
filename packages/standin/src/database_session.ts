import {Duplex} from 'node:stream';
import {Socket} from 'node:net';
import {Right} from 'purify-ts';
import {fieldOf, isNode, SyntaxNode} from '@apricotlock/sql';
import {TimerService} from '@apricotlock/timer';
import {
  AcceptedCaller,
  acceptCaller,
  AcceptError,
  BackendType,
  emptyMessage,
  commandComplete,
  dataRow,
  errorResponse,
  Frame,
  FrontendType,
  parameterDescription,
  readBind,
  readParse,
  readQuery,
  readTarget,
  readyForQuery,
  rowDescription,
  SqlState,
  TransactionStatus,
} from '@apricotlock/wire';
import {QueryResult, tagOnlyResult} from './query_result.js';
import {OutputBuffer} from './output_buffer.js';
import {readWithinIdleLimit} from './idle_limit.js';
import {MemberRuntime} from './member_runtime.js';
import {
  parseStatements,
  Portal,
  prepare,
  PreparedStatement,
  readBindValues,
} from './prepared_statement.js';
import {StatementContext} from './select.js';
import {SqlError} from './sql_error.js';
import {returnsRows, runStatement} from './statement_runner.js';
import {StatementCancel} from './statement_cancel.js';
import {SystemFunctions} from './system_functions.js';
import {Transaction} from './transaction.js';
import {TypeOid, Value, valueToText} from './value.js';
import {WorkCounter} from './work_counter.js';

const MAXIMUM_MESSAGE_BYTES = 16 << 20;
const SERVER_VERSION = '17.0';

/** Options that all sessions of a member share. */
export interface SessionOptions {
  readonly runtime: MemberRuntime;
  readonly timer: TimerService;
  readonly counter: WorkCounter;
  /** Simulated time to open a connection, in milliseconds. */
  readonly openingMilliseconds: number;
}

/**
 * Serves one connection until it ends. Refuses it with PostgreSQL's error if
 * the member's connection limit is reached.
 */
export async function serveConnection(
  stream: Duplex,
  options: SessionOptions,
): Promise<void> {
  const {counter, timer, runtime} = options;
  if (!counter.tryAddConnection()) {
    stream.end(errorResponse(TOO_MANY_CONNECTIONS));
    return;
  }
  const cancel = StatementCancel.register(timer);
  const unsubscribe = runtime.terminations.subscribe(() => stream.destroy());
  try {
    await timer.sleep(options.openingMilliseconds);
    const accepted = await acceptCaller(stream as Socket, {
      maximumMessageBytes: MAXIMUM_MESSAGE_BYTES,
      serverVersion: SERVER_VERSION,
      secureContext: undefined,
      processId: cancel.processId,
      secret: cancel.secret,
      authenticate: () => Right({method: 'trust'}),
    });
    if (accepted.isLeft()) {
      StatementCancel.handleRequest(accepted.extract() as AcceptError);
      return;
    }
    const caller = accepted.unsafeCoerce();
    await DatabaseSession.create(caller, options, cancel).run();
  } finally {
    unsubscribe();
    cancel.unregister();
    counter.removeConnection();
    stream.destroy();
  }
}

const TOO_MANY_CONNECTIONS = {
  severity: 'FATAL',
  code: SqlState.TOO_MANY_CONNECTIONS,
  message: 'sorry, too many clients already',
} as const;

class DatabaseSession {
  private transaction: Transaction | undefined;
  private transactionFailed = false;
  /** Set after an error: extended-protocol messages are skipped until Sync. */
  private skippingToSync = false;
  private readonly output: OutputBuffer;
  private readonly prepared = new Map<string, PreparedStatement>();
  private readonly portals = new Map<string, Portal>();
  private readonly functions: SystemFunctions;

  private constructor(
    private readonly caller: AcceptedCaller,
    private readonly options: SessionOptions,
    private readonly cancel: StatementCancel,
  ) {
    this.output = OutputBuffer.create(caller.stream);
    this.functions = SystemFunctions.of(options.runtime);
  }

  static create(
    caller: AcceptedCaller,
    options: SessionOptions,
    cancel: StatementCancel,
  ): DatabaseSession {
    return new DatabaseSession(caller, options, cancel);
  }

  async run(): Promise<void> {
    const {splitter} = this.caller;
    try {
      for (;;) {
        const inTransaction = this.transaction !== undefined;
        const chunk = await readWithinIdleLimit(
          this.caller,
          inTransaction,
          this.options.timer,
        );
        if (chunk === undefined) return;
        splitter.push(chunk);
        for (const frame of splitter.drain().orDefault([])) {
          if (frame.type === FrontendType.TERMINATE) return;
          await this.handle(frame);
        }
      }
    } finally {
      this.transaction?.rollBack();
    }
  }

  private async handle(frame: Frame): Promise<void> {
    if (frame.type === FrontendType.QUERY) {
      await this.runQuery(readQuery(frame).orDefault(''));
      this.send(readyForQuery(this.status));
      this.output.flush();
    } else if (frame.type === FrontendType.SYNC) {
      this.skippingToSync = false;
      this.send(readyForQuery(this.status));
      this.output.flush();
    } else if (!this.skippingToSync) {
      await this.reportSqlErrors(() => this.handleExtended(frame));
    }
  }

  private get status(): TransactionStatus {
    if (this.transaction === undefined) return 'idle';
    return this.transactionFailed ? 'failed' : 'transaction';
  }

  private async runQuery(text: string): Promise<void> {
    const succeeded = await this.reportSqlErrors(async () => {
      const statements = parseStatements(text);
      if (statements.length === 0) {
        this.send(emptyMessage(BackendType.EMPTY_QUERY));
      }
      for (const statement of statements) {
        const result = await this.execute(statement, []);
        if (returnsRows(statement)) this.send(rowDescription(result.columns));
        this.sendRows(result);
      }
    });
    if (!succeeded) this.skippingToSync = false;
  }

  /** Runs `work`. Sends an SqlError to the caller and returns `false`. */
  private async reportSqlErrors(work: () => Promise<void>): Promise<boolean> {
    try {
      await work();
      return true;
    } catch (failure) {
      if (!(failure instanceof SqlError)) throw failure;
      this.transactionFailed = true;
      this.skippingToSync = true;
      const {code, message} = failure;
      this.send(errorResponse({severity: 'ERROR', code, message}));
      return false;
    }
  }

  private async handleExtended(frame: Frame): Promise<void> {
    switch (frame.type) {
      case FrontendType.PARSE: {
        const {statement, query} = readParse(frame).unsafeCoerce();
        this.prepared.set(statement, prepare(query));
        this.send(emptyMessage(BackendType.PARSE_COMPLETE));
        return;
      }
      case FrontendType.BIND: {
        const {portal, statement, rest} = readBind(frame).unsafeCoerce();
        const prepared = this.preparedStatement(statement);
        this.portals.set(portal, {prepared, values: readBindValues(rest)});
        this.send(emptyMessage(BackendType.BIND_COMPLETE));
        return;
      }
      case FrontendType.DESCRIBE:
        return this.describe(frame);
      case FrontendType.EXECUTE:
        return this.executePortal(frame);
      case FrontendType.CLOSE: {
        const {target, name} = readTarget(frame).unsafeCoerce();
        (target === 'statement' ? this.prepared : this.portals).delete(name);
        this.send(emptyMessage(BackendType.CLOSE_COMPLETE));
        return;
      }
      case FrontendType.FLUSH:
        return this.output.flush();
      default:
        throw SqlError.of(SqlState.PROTOCOL_VIOLATION, 'unexpected message');
    }
  }

  private async describe(frame: Frame): Promise<void> {
    const {target, name} = readTarget(frame).unsafeCoerce();
    const prepared =
      target === 'statement'
        ? this.preparedStatement(name)
        : this.portal(name).prepared;
    if (target === 'statement') {
      const oids = Array.from(
        {length: prepared.parameterCount},
        () => TypeOid.TEXT,
      );
      this.send(parameterDescription(oids));
    }
    const {statement} = prepared;
    if (statement === undefined || !returnsRows(statement)) {
      this.send(emptyMessage(BackendType.NO_DATA));
      return;
    }
    this.send(rowDescription(await this.columnsOf(statement)));
  }

  /**
   * Returns the result columns of a statement without storing rows: it runs as
   * a SELECT of zero rows.
   */
  private async columnsOf(
    statement: SyntaxNode,
  ): Promise<QueryResult['columns']> {
    const probe = Transaction.begin(true, this.options.timer);
    const body = isNode(statement, 'SelectStmt')
      ? fieldOf(statement, 'SelectStmt')
      : returningAsSelect(statement);
    const {lockingClause: _locking, ...unlocked} = body;
    const context = this.contextFor(probe, []);
    const select = {...unlocked, limitCount: ZERO_ROWS};
    const result = await runStatement({SelectStmt: select}, context);
    return result.columns;
  }

  private async executePortal(frame: Frame): Promise<void> {
    // The name follows the message's type and length.
    const name = frame.bytes.toString('utf8', 5, frame.bytes.indexOf(0, 5));
    const {prepared, values} = this.portal(name);
    if (prepared.statement === undefined) {
      this.send(emptyMessage(BackendType.EMPTY_QUERY));
      return;
    }
    this.sendRows(await this.execute(prepared.statement, values));
  }

  private async execute(
    statement: SyntaxNode,
    values: readonly Value[],
  ): Promise<QueryResult> {
    const kind = fieldOf(statement, 'TransactionStmt')['kind'];
    if (kind !== undefined) return this.runCommand(String(kind), statement);
    if (this.transactionFailed && this.transaction !== undefined) {
      throw failedTransactionError();
    }
    const {counter, runtime} = this.options;
    return counter.run(async () => {
      this.cancel.beginStatement();
      if (runtime.delays.statement > 0) {
        await this.cancel.sleep(runtime.delays.statement);
      }
      if (this.transaction !== undefined) {
        return this.runStatementIn(this.transaction, statement, values);
      }
      return this.autocommit(statement, values);
    });
  }

  private async autocommit(
    statement: SyntaxNode,
    values: readonly Value[],
  ): Promise<QueryResult> {
    const {timer, runtime} = this.options;
    const transaction = Transaction.begin(!runtime.isActivePrimary, timer);
    try {
      const result = await this.runStatementIn(transaction, statement, values);
      this.commit(transaction);
      return result;
    } catch (failure) {
      transaction.rollBack();
      throw failure;
    }
  }

  private async runStatementIn(
    transaction: Transaction,
    statement: SyntaxNode,
    values: readonly Value[],
  ): Promise<QueryResult> {
    const result = await runStatement(
      statement,
      this.contextFor(transaction, values),
    );
    const sleep = this.functions.consumeSleepMilliseconds();
    if (sleep > 0) await this.cancel.sleep(sleep);
    return result;
  }

  private contextFor(
    transaction: Transaction,
    parameters: readonly Value[],
  ): StatementContext {
    return {
      database: this.options.runtime.database,
      transaction,
      parameters,
      call: (name, values) => this.functions.call(name, values),
    };
  }

  /** Runs BEGIN, COMMIT or ROLLBACK. */
  private runCommand(command: string, statement: SyntaxNode): QueryResult {
    switch (command) {
      case 'TRANS_STMT_BEGIN':
      case 'TRANS_STMT_START': {
        const requested = JSON.stringify(statement).includes(
          'transaction_read_only',
        );
        const readOnly = requested || !this.options.runtime.isActivePrimary;
        this.transaction ??= Transaction.begin(readOnly, this.options.timer);
        this.transactionFailed = false;
        return tagOnlyResult('BEGIN');
      }
      case 'TRANS_STMT_COMMIT':
        return this.endTransaction();
      case 'TRANS_STMT_ROLLBACK':
        this.transaction?.rollBack();
        this.transaction = undefined;
        this.transactionFailed = false;
        return tagOnlyResult('ROLLBACK');
      default:
        throw SqlError.of(
          SqlState.FEATURE_NOT_SUPPORTED,
          'the stand-in does not support savepoints',
        );
    }
  }

  private endTransaction(): QueryResult {
    const {transaction} = this;
    this.transaction = undefined;
    if (transaction === undefined) return tagOnlyResult('COMMIT');
    if (this.transactionFailed) {
      this.transactionFailed = false;
      transaction.rollBack();
      return tagOnlyResult('ROLLBACK');
    }
    this.commit(transaction);
    return tagOnlyResult('COMMIT');
  }

  private commit(transaction: Transaction): void {
    const {runtime} = this.options;
    if (!transaction.readOnly && !runtime.isActivePrimary) {
      transaction.rollBack();
      throw SqlError.of(
        SqlState.READ_ONLY_TRANSACTION,
        'no longer the primary',
      );
    }
    const changes = transaction.commit();
    if (changes.length > 0) runtime.commit(changes);
  }

  private preparedStatement(name: string): PreparedStatement {
    const prepared = this.prepared.get(name);
    if (prepared !== undefined) return prepared;
    throw SqlError.of(
      SqlState.INVALID_STATEMENT_NAME,
      `prepared statement "${name}" does not exist`,
    );
  }

  private portal(name: string): Portal {
    const portal = this.portals.get(name);
    if (portal !== undefined) return portal;
    throw SqlError.of('34000', `portal "${name}" does not exist`);
  }

  private sendRows(result: QueryResult): void {
    const rows = result.rows.map(row => dataRow(row.map(valueToText)));
    this.send(Buffer.concat([...rows, commandComplete(result.tag)]));
  }

  private send(bytes: Buffer): void {
    this.output.add(bytes);
  }
}

const ZERO_ROWS = {A_Const: {ival: {ival: 0}}};

function failedTransactionError(): SqlError {
  return SqlError.of(
    SqlState.IN_FAILED_TRANSACTION,
    'current transaction is aborted, commands ignored until end of ' +
      'transaction block',
  );
}

function returningAsSelect(statement: SyntaxNode): SyntaxNode {
  const [type] = Object.keys(statement);
  const body = fieldOf(statement, type ?? '');
  const targets = fieldOf(body, 'returningClause')['exprs'];
  return {targetList: targets, fromClause: [{RangeVar: body['relation']}]};
}
