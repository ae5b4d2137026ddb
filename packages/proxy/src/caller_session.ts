import {SessionToken} from '@apricotlock/session';
import {Statement, StatementClassifier} from '@apricotlock/sql';
import {CatalogueEntry} from '@apricotlock/topology';
import {
  AcceptedCaller,
  Frame,
  FrontendType,
  SqlState,
  TransactionStatus,
} from '@apricotlock/wire';
import {
  commandAnswer,
  failureAnswer,
  showAnswer,
  withoutHidden,
  withParameter,
} from './answer.js';
import {LeaseHolder} from './lease_holder.js';
import {Failure} from './outcome.js';
import {BatchError, BatchReader, RequestBatch} from './request_batch.js';
import {Routed, Router} from './router.js';
import {
  DEFAULT_SETTINGS,
  SessionSettings,
  SettingName,
  shownSetting,
  withSetting,
} from './session_settings.js';

/** What a session counts for the metrics. */
export interface SessionObserver {
  readonly served: (
    by: 'primary' | 'replica',
    purpose: 'read' | 'write',
  ) => void;
  readonly failed: (failure: Failure) => void;
}

/** What a session needs. */
export interface CallerSessionOptions {
  readonly id: string;
  readonly caller: AcceptedCaller;
  /** The caller's entry as the newest view has it. */
  readonly entry: () => CatalogueEntry | undefined;
  readonly router: Router;
  readonly classifier: StatementClassifier;
  readonly observer: SessionObserver;
}

/** Serves one caller, in a task of its own. */
export class CallerSession {
  private settings: SessionSettings = DEFAULT_SETTINGS;
  private status: TransactionStatus = 'idle';
  /** Held while a transaction is open. */
  private lease: LeaseHolder | undefined;
  private readonly reader: BatchReader;
  private batchUnderWay = false;
  private ending = false;
  /** The token that the caller was last told. */
  private toldToken: string | undefined;

  private constructor(private readonly options: CallerSessionOptions) {
    this.reader = BatchReader.create(options.classifier);
  }

  /** A session whose caller has been let in. */
  static create(options: CallerSessionOptions): CallerSession {
    const session = new CallerSession(options);
    const {parameters} = options.caller;
    for (const name of Object.values(SettingName)) {
      const value = parameters[name];
      if (value !== undefined) session.applySetting(name, value);
    }
    return session;
  }

  /** Whether the session could end now without cutting anything. */
  get idle(): boolean {
    return !this.batchUnderWay && this.status === 'idle';
  }

  /** Makes the session end as soon as it is idle. */
  endWhenIdle(): void {
    this.ending = true;
  }

  /** Serves batch after batch until the caller goes. */
  async run(): Promise<void> {
    const {stream, splitter} = this.options.caller;
    let frames: Frame[] = [];
    try {
      for (;;) {
        const next = splitter.next();
        if (next.isLeft()) return this.refuseStream();
        const frame = next.extract() as Frame | undefined;
        if (frame === undefined) {
          const chunk = await stream.read();
          if (chunk === undefined) return;
          splitter.push(chunk);
          continue;
        }
        if (frame.type === FrontendType.TERMINATE) return;
        frames.push(frame);
        if (!endsBatch(frame)) continue;
        const batch = frames;
        frames = [];
        await this.serve(batch);
        if (this.ending && this.idle) return;
      }
    } finally {
      this.lease?.release();
    }
  }

  private async serve(frames: readonly Frame[]): Promise<void> {
    this.batchUnderWay = true;
    const answer = await this.answerTo(frames);
    this.options.caller.stream.write(answer);
    await this.options.caller.stream.drained();
    this.batchUnderWay = false;
  }

  private async answerTo(frames: readonly Frame[]): Promise<Buffer> {
    const read = this.reader.read(frames);
    if (read.isLeft()) {
      return this.fail(batchFailure(read.extract() as BatchError));
    }
    const batch = read.unsafeCoerce();
    const local = this.answerHere(batch);
    if (local !== undefined) return local;
    if (this.lease !== undefined) return this.goOn(this.lease, batch);
    return this.begin(batch);
  }

  /** The answer to what no member needs to see. */
  private answerHere(batch: RequestBatch): Buffer | undefined {
    const unsupported = batch.statements.find(isUnsupported);
    if (unsupported !== undefined) {
      const reason = `the proxy does not offer ${unsupported.what}`;
      const code = SqlState.FEATURE_NOT_SUPPORTED;
      return this.fail({kind: 'notPossible', code, reason});
    }
    const [only, ...others] = batch.statements;
    const isSetting =
      only?.kind === 'setProxySetting' || only?.kind === 'showProxySetting';
    if (isSetting && others.length === 0 && batch.simple) {
      return this.answerSetting(only);
    }
    if (batch.statements.some(isProxySetting)) {
      const reason = 'settings of the proxy stand alone in a simple query';
      const code = SqlState.FEATURE_NOT_SUPPORTED;
      return this.fail({kind: 'notPossible', code, reason});
    }
    // After a lost connection the member's transaction is gone already.
    if (this.status === 'failed' && this.lease === undefined) {
      return this.answerInFailed(only);
    }
    return undefined;
  }

  private answerInFailed(statement: Statement | undefined): Buffer {
    const ends = statement?.kind === 'rollback' || statement?.kind === 'commit';
    if (ends) {
      this.status = 'idle';
      return commandAnswer('ROLLBACK', 'idle');
    }
    const reason = 'the transaction is aborted; end it first';
    const code = SqlState.IN_FAILED_TRANSACTION;
    return this.fail({kind: 'notPossible', code, reason});
  }

  private answerSetting(
    statement: Extract<
      Statement,
      {kind: 'setProxySetting' | 'showProxySetting'}
    >,
  ): Buffer {
    const {name} = statement;
    if (statement.kind === 'showProxySetting') {
      return shownSetting(this.settings, name)
        .map(value => showAnswer(name, value, this.status))
        .orDefaultLazy(() => this.fail(settingFailure(name)));
    }
    if (this.applySetting(name, statement.value)) {
      return commandAnswer('SET', this.status);
    }
    return this.fail(settingFailure(name));
  }

  private applySetting(name: string, value: string | undefined): boolean {
    const {database} = this.options.entry() ?? {database: ''};
    const changed = withSetting(this.settings, database, name, value);
    changed.ifRight(settings => {
      this.settings = settings;
    });
    return changed.isRight();
  }

  private async begin(batch: RequestBatch): Promise<Buffer> {
    const entry = this.options.entry();
    if (entry === undefined) {
      const code = SqlState.INVALID_CATALOG_NAME;
      const reason = 'the catalogue has this entry no more';
      return this.fail({kind: 'notPossible', code, reason});
    }
    const {router, id} = this.options;
    const purpose = isRead(batch) ? 'read' : 'write';
    const {token} = this.settings;
    const request = {entry, session: id, token, batch};
    const outcome =
      purpose === 'read'
        ? await router.read(request)
        : await router.write(request);
    if (outcome.kind === 'notRouted') return this.fail(outcome.failure);
    this.options.observer.served(outcome.servedBy, purpose);
    return this.finish(outcome.lease, batch, outcome.result);
  }

  private async goOn(lease: LeaseHolder, batch: RequestBatch): Promise<Buffer> {
    const result = await lease.run(batch);
    if (result.kind === 'finished' && result.confirmed) {
      return this.finish(lease, batch, result);
    }
    lease.release();
    this.lease = undefined;
    const commits = batch.unparsed || batch.statements.some(isCommit);
    const reason = 'the backend server was lost, or is no longer the primary';
    this.status = commits ? 'idle' : 'failed';
    return this.fail({kind: commits ? 'unknown' : 'rolledBack', reason});
  }

  private finish(
    lease: LeaseHolder,
    batch: RequestBatch,
    result: Routed['result'],
  ): Buffer {
    this.status = result.status;
    if (result.status === 'idle') {
      lease.release();
      this.lease = undefined;
    } else {
      this.lease = lease;
    }
    const answer = withoutHidden(result.answer, batch.hiddenMessages);
    this.learn(result);
    const token = this.settings.token?.toString();
    const told = token === undefined || token === this.toldToken;
    if (told || result.status !== 'idle') return answer;
    this.toldToken = token;
    return withParameter(answer, SettingName.SESSION, token);
  }

  /** Later reads have to show at least what this answer may have shown. */
  private learn({term, position}: Routed['result']): void {
    if (position === undefined) return;
    const {token} = this.settings;
    if (token?.covers(term, position)) return;
    const {database} = this.options.entry() ?? {database: ''};
    const seen = SessionToken.of(database, term, position);
    const merged = token === undefined ? seen : token.merge(seen);
    this.settings = {...this.settings, token: merged};
  }

  private fail(failure: Failure): Buffer {
    this.options.observer.failed(failure);
    if (this.status === 'transaction' && failure.kind === 'notPossible') {
      // PostgreSQL would abort the transaction; so must the proxy.
      this.abandonTransaction();
    }
    return failureAnswer(failure, this.status);
  }

  private abandonTransaction(): void {
    this.lease?.release();
    this.lease = undefined;
    this.status = 'failed';
  }

  private refuseStream(): void {
    const reason = 'the message is too long or malformed';
    const code = SqlState.PROTOCOL_VIOLATION;
    const failure: Failure = {kind: 'notPossible', code, reason};
    this.options.caller.stream.write(failureAnswer(failure, this.status));
  }
}

function endsBatch(frame: Frame): boolean {
  return frame.type === FrontendType.QUERY || frame.type === FrontendType.SYNC;
}

function isUnsupported(
  statement: Statement,
): statement is Extract<Statement, {kind: 'unsupported'}> {
  return statement.kind === 'unsupported';
}

function isProxySetting(statement: Statement): boolean {
  return (
    statement.kind === 'setProxySetting' ||
    statement.kind === 'showProxySetting'
  );
}

function isCommit(statement: Statement): boolean {
  return statement.kind === 'commit';
}

function isRead(batch: RequestBatch): boolean {
  if (batch.unparsed) return false;
  const [first] = batch.statements;
  if (first?.kind === 'begin') return first.options.readOnly;
  return batch.statements.every(statement => statement.kind === 'read');
}

function settingFailure(name: string): Failure {
  return {
    kind: 'notPossible',
    code: SqlState.INVALID_PARAMETER,
    reason: `no such setting, or a bad value, for ${name}`,
  };
}

function batchFailure(error: BatchError): Failure {
  switch (error.kind) {
    case 'unknownStatement':
      return {
        kind: 'notPossible',
        code: SqlState.INVALID_STATEMENT_NAME,
        reason: `prepared statement "${error.detail}" does not exist`,
      };
    case 'unsupportedMessage':
      return {
        kind: 'notPossible',
        code: SqlState.FEATURE_NOT_SUPPORTED,
        reason: `the proxy does not offer message "${error.detail}"`,
      };
    case 'malformed':
      return {
        kind: 'notPossible',
        code: SqlState.PROTOCOL_VIOLATION,
        reason: `malformed message "${error.detail}"`,
      };
  }
}
