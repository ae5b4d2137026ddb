import pg from 'pg';
import {SessionToken} from '@apricotlock/session';
import {TimerService} from '@apricotlock/timer';
import {Address} from '@apricotlock/topology';

const CONNECT_TIMEOUT_MILLISECONDS = 5_000;

/** The outcome of a statement as its caller sees it. */
export type Outcome =
  | {readonly kind: 'done'; readonly rows: readonly Row[]}
  | {readonly kind: 'notRun'; readonly code: string}
  | {readonly kind: 'unknown'; readonly code: string};

/** A result row as `pg` returns it. */
export type Row = Readonly<Record<string, unknown>>;

/** SQLSTATEs of errors which guarantee that the statement was not run. */
const NOT_RUN_CODES: ReadonlySet<string> = new Set([
  '57P03',
  '53300',
  '25006',
  '40000',
  '57P01',
]);

/** The code of a COMMIT that was answered with ROLLBACK, which is no error. */
const ROLLED_BACK = 'rolled back';

/** A client of the system that uses one plain `pg` connection at a time. */
export class Caller {
  private client: pg.Client | undefined;
  private address: Address;
  token: string | undefined;

  private constructor(
    private readonly user: string,
    private readonly database: string,
    address: Address,
    private readonly timer: TimerService,
  ) {
    this.address = address;
  }

  /** Creates a caller; it connects when it runs its first statement. */
  static create(
    user: string,
    database: string,
    address: Address,
    timer: TimerService,
  ): Caller {
    return new Caller(user, database, address, timer);
  }

  /**
   * Closes the connection and continues the session through another proxy. The
   * session token is sent on the next connection.
   */
  async moveTo(address: Address): Promise<void> {
    await this.close();
    this.address = address;
  }

  /** Runs a statement and returns its outcome. */
  async run(text: string, values: readonly unknown[] = []): Promise<Outcome> {
    const client = await this.ensureConnected();
    if (client === undefined) return {kind: 'notRun', code: 'no connection'};
    try {
      const result = await client.query(text, [...values]);
      if (text === 'COMMIT' && result.command !== 'COMMIT') {
        return {kind: 'notRun', code: ROLLED_BACK};
      }
      return {kind: 'done', rows: result.rows as readonly Row[]};
    } catch (failure) {
      return this.classifyFailure(failure);
    }
  }

  /** Runs statements as one transaction and returns the outcome of it. */
  async runTransaction(
    statements: ReadonlyArray<readonly [string, readonly unknown[]]>,
  ): Promise<Outcome> {
    const begin = await this.run('BEGIN');
    if (begin.kind !== 'done') return {kind: 'notRun', code: begin.code};
    const {client} = this;
    for (const [text, values] of statements) {
      const outcome = await this.run(text, values);
      if (outcome.kind !== 'done') return this.abort(outcome.code);
      // A new connection is not part of the transaction.
      if (this.client !== client) return this.abort('connection lost');
    }
    return this.run('COMMIT');
  }

  /** Runs a statement with an idempotency key. */
  async runKeyed(
    key: string,
    [text, values]: readonly [string, readonly unknown[]],
  ): Promise<Outcome> {
    const setOutcome = await this.run(
      `SET apricotlock.idempotency_key = '${key}'`,
    );
    // The key is lost with the connection on which it was set.
    const keyNotSet = setOutcome.kind !== 'done' || this.client === undefined;
    if (keyNotSet) return {kind: 'notRun', code: 'idempotency key not set'};
    return this.run(text, values);
  }

  /**
   * Closes the connection of an open transaction. COMMIT was never sent, so no
   * part of the transaction can take effect.
   */
  private async abort(code: string): Promise<Outcome> {
    await this.close();
    return {kind: 'notRun', code};
  }

  /** Runs a statement and returns how long it took, in milliseconds. */
  async measureMilliseconds(
    text: string,
    values: readonly unknown[] = [],
  ): Promise<number> {
    const start = this.timer.now();
    await this.run(text, values);
    return this.timer.now() - start;
  }

  /** Closes the connection. */
  async close(): Promise<void> {
    const {client} = this;
    this.client = undefined;
    await client?.end().catch(() => undefined);
  }

  private async ensureConnected(): Promise<pg.Client | undefined> {
    if (this.client !== undefined) return this.client;
    const client = new pg.Client({
      ...this.address,
      user: this.user,
      database: this.database,
      connectionTimeoutMillis: CONNECT_TIMEOUT_MILLISECONDS,
    });
    client.on('error', () => {
      if (this.client === client) this.client = undefined;
    });
    try {
      await client.connect();
      listenForToken(client, token => {
        this.token = token;
      });
      if (this.token !== undefined) {
        // A parsed token contains no quote, so it is safe in a literal.
        const token = SessionToken.parse(this.token).unsafeCoerce();
        await client.query(`SET apricotlock.session = '${token.toString()}'`);
      }
    } catch {
      client.end().catch(() => undefined);
      return undefined;
    }
    this.client = client;
    return client;
  }

  private classifyFailure(failure: unknown): Outcome {
    const code = (failure as {readonly code?: string}).code ?? 'closed';
    if (NOT_RUN_CODES.has(code)) return {kind: 'notRun', code};
    if (code === 'closed' || code.startsWith('E')) this.client = undefined;
    return {kind: 'unknown', code};
  }
}

interface ParameterStatusMessage {
  readonly parameterName: string;
  readonly parameterValue: string;
}

/**
 * Calls `onToken` with each session token that the server reports. `pg` has no
 * public event for ParameterStatus, so this listens on its inner connection.
 */
function listenForToken(
  client: pg.Client,
  onToken: (token: string) => void,
): void {
  const {connection} = client as unknown as {
    readonly connection: NodeJS.EventEmitter;
  };
  connection.on('parameterStatus', (message: ParameterStatusMessage) => {
    if (message.parameterName === 'apricotlock.session') {
      onToken(message.parameterValue);
    }
  });
}
