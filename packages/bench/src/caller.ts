import pg from 'pg';
import {SessionToken} from '@apricotlock/session';
import {TimerService} from '@apricotlock/timer';
import {Address} from '@apricotlock/topology';

const CONNECT_TIMEOUT_MILLISECONDS = 5_000;

/** What became of one statement, as the caller saw it. */
export type Outcome =
  | {readonly kind: 'done'; readonly rows: readonly Row[]}
  | {readonly kind: 'notRun'; readonly code: string}
  | {readonly kind: 'unknown'; readonly code: string};

/** A row as `pg` gives it. */
export type Row = Readonly<Record<string, unknown>>;

/** SQLSTATE classes and codes of answers that say that nothing was run. */
const NOT_RUN_CODES: ReadonlySet<string> = new Set([
  '57P03',
  '53300',
  '25006',
  '40000',
  '57P01',
]);

/** One client of the system, with a plain `pg` connection. */
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

  /** A caller that connects with its first statement. */
  static create(
    user: string,
    database: string,
    address: Address,
    timer: TimerService,
  ): Caller {
    return new Caller(user, database, address, timer);
  }

  /** Goes on through another proxy, with its session token. */
  async roam(address: Address): Promise<void> {
    await this.close();
    this.address = address;
  }

  /** Runs a statement and says what became of it. */
  async run(text: string, values: readonly unknown[] = []): Promise<Outcome> {
    const client = await this.connected();
    if (client === undefined) return {kind: 'notRun', code: 'no connection'};
    try {
      const result = await client.query(text, [...values]);
      return {kind: 'done', rows: result.rows as readonly Row[]};
    } catch (failure) {
      return this.outcomeOf(failure);
    }
  }

  /** Runs statements as one transaction and says what became of it. */
  async transaction(
    statements: ReadonlyArray<readonly [string, readonly unknown[]]>,
  ): Promise<Outcome> {
    const begun = await this.run('BEGIN');
    if (begun.kind !== 'done') return {kind: 'notRun', code: begun.code};
    const {client} = this;
    for (const [text, values] of statements) {
      const outcome = await this.run(text, values);
      if (outcome.kind !== 'done') return this.abandon(outcome.code);
      // Another connection would know nothing of the transaction.
      if (this.client !== client) return this.abandon('connection lost');
    }
    return this.run('COMMIT');
  }

  /** Runs a statement under an idempotency key. */
  async runKeyed(
    key: string,
    [text, values]: readonly [string, readonly unknown[]],
  ): Promise<Outcome> {
    const set = await this.run(`SET apricotlock.idempotency_key = '${key}'`);
    // On another connection the statement would run without the key.
    const lost = set.kind !== 'done' || this.client === undefined;
    if (lost) return {kind: 'notRun', code: 'the key was not taken'};
    return this.run(text, values);
  }

  /** COMMIT was never sent, so nothing of the transaction can stay. */
  private async abandon(code: string): Promise<Outcome> {
    await this.close();
    return {kind: 'notRun', code};
  }

  /** How long a statement took, in milliseconds. */
  async timed(text: string, values: readonly unknown[] = []): Promise<number> {
    const start = this.timer.now();
    await this.run(text, values);
    return this.timer.now() - start;
  }

  /** Ends the connection. */
  async close(): Promise<void> {
    const {client} = this;
    this.client = undefined;
    await client?.end().catch(() => undefined);
  }

  private async connected(): Promise<pg.Client | undefined> {
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
        // A checked token has no quote in it.
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

  private outcomeOf(failure: unknown): Outcome {
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

/** `pg` has no public event for ParameterStatus; its connection has one. */
function listenForToken(
  client: pg.Client,
  take: (token: string) => void,
): void {
  const {connection} = client as unknown as {
    readonly connection: NodeJS.EventEmitter;
  };
  connection.on('parameterStatus', (message: ParameterStatusMessage) => {
    if (message.parameterName === 'apricotlock.session') {
      take(message.parameterValue);
    }
  });
}
