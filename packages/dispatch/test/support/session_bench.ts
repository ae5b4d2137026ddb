import {setImmediate} from 'node:timers/promises';
import {Right} from 'purify-ts';
import {Deferred, Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {OperationQuota, QuotaDecision} from '@apricotlock/quota';
import {
  CallerAnswer,
  CallerConnection,
  CallerFailure,
  CallerRequest,
  SessionStart,
  Statement,
} from '@apricotlock/statement';
import {ManualTimerService} from '@apricotlock/timer';
import {
  CatalogueEntry,
  ClusterView,
  digestOfKey,
  Organisation,
} from '@apricotlock/topology';
import {
  Authenticator,
  RoutedStatement,
  RouteOutcome,
  SessionObserver,
  StatementRouter,
  StatementSession,
  ViewFreshness,
  WorkHandle,
  WorkResult,
} from '../../src/index.js';

/** The entry that requires a key, and the one that does not. */
export const KEYED = 'keyed';
export const OPEN = 'open';

const ENTRY = {database: 'ledger', owner: 'test', class: 'standard'} as const;
const LIMITS = {connections: 4, slots: 2, queueLength: 9, queueMilliseconds: 9};
const TERMS = {consistency: 'primary', priority: 0} as const;
const ENTRIES: readonly CatalogueEntry[] = [KEYED, OPEN].map(name => ({
  ...ENTRY,
  name,
  members: 1,
  limits: LIMITS,
  terms: {
    ...TERMS,
    statementMilliseconds: 800,
    ...(name === OPEN && {allowsAnonymous: true}),
  },
}));

export function organisation(name: string, ...keys: string[]): Organisation {
  return {name, keyDigests: keys.map(digestOfKey), priority: 3};
}

export function viewOf(
  index: number,
  organisations?: readonly Organisation[],
): ClusterView {
  const catalogue = {version: 1, entries: ENTRIES, organisations};
  return {index, catalogue, groups: []};
}

/** A connection whose caller sends requests when the test says so. */
class ScriptedConnection extends CallerConnection {
  readonly answers: CallerAnswer[] = [];
  accepted = false;
  closed = false;
  rejection: CallerFailure | undefined;
  private readonly closing = Deferred.create<void>();
  override readonly ended = this.closing.promise;
  override hasUnsentAnswer = false;
  private readonly requests: CallerRequest[] = [];
  private arrived = Deferred.create<void>();

  constructor(private readonly sessionStart: SessionStart) {
    super();
  }

  override get hasPendingRequest(): boolean {
    return !this.closed && this.requests.length > 0;
  }

  send(statement: Statement): void {
    const id = `q${this.answers.length + 1}`;
    this.requests.push({id, statement: Right(statement)});
    this.arrived.resolve();
  }

  override async start(): Promise<SessionStart> {
    return this.sessionStart;
  }

  override accept(): void {
    this.accepted = true;
  }

  override reject(failure: CallerFailure): void {
    if (!this.closed) this.rejection = failure;
    this.close();
  }

  override async receive(): Promise<CallerRequest | undefined> {
    while (this.requests.length === 0 && !this.closed) {
      this.arrived = Deferred.create<void>();
      await this.arrived.promise;
    }
    return this.closed ? undefined : this.requests.shift();
  }

  override answer(answer: CallerAnswer): void {
    if (!this.closed) this.answers.push(answer);
  }

  override async readArrived(): Promise<void> {
    return undefined;
  }

  override close(): void {
    this.closed = true;
    this.closing.resolve();
    this.arrived.resolve();
  }
}

/** Answers as a member does, and records what it was sent. */
class FakeRouter {
  readonly statements: RoutedStatement[] = [];
  /** Statements of open transactions after their first. */
  continued = 0;
  endedTransactions = 0;
  refusal: RouteOutcome | undefined;
  /** Whether members never answer. */
  silent = false;

  async route(statement: RoutedStatement): Promise<RouteOutcome> {
    this.statements.push(statement);
    if (this.silent) await new Promise(() => undefined);
    if (this.refusal !== undefined) return this.refusal;
    const opened = statement.opens !== 'none';
    const handle = {
      end: () => {
        this.endedTransactions += 1;
      },
      continueTransaction: async (): Promise<WorkResult> => {
        this.continued += 1;
        return {...memberAnswer(true), expectedWaitMilliseconds: 0};
      },
    } as unknown as WorkHandle;
    return {...memberAnswer(opened), handle, member: 'm'};
  }
}

function memberAnswer(opened: boolean) {
  const answer = {
    rows: [],
    end: {kind: 'complete', signature: 'sig'},
    state: opened ? 'transaction' : 'idle',
    position: undefined,
  } as const;
  return {kind: 'answered', answer} as const;
}

class RecordingObserver extends SessionObserver {
  readonly failures: string[] = [];
  quotaRefusals = 0;

  override onAnswer(): void {
    return undefined;
  }

  override onFailure(kind: string): void {
    this.failures.push(kind);
  }

  override onQuotaRefusal(): void {
    this.quotaRefusals += 1;
  }
}

/** Gives scripted decisions, then grants. */
export class FakeQuota extends OperationQuota {
  readonly acquired: string[] = [];
  readonly givenBack: string[] = [];
  decisions: Array<QuotaDecision | Promise<QuotaDecision>> = [];

  override async acquire({name}: Organisation): Promise<QuotaDecision> {
    this.acquired.push(name);
    return this.decisions.shift() ?? {kind: 'granted'};
  }

  override giveBack({name}: Organisation): void {
    this.givenBack.push(name);
  }
}

/** A newer view arrives only by a refresh, after some time. */
export class FakeFreshness extends ViewFreshness {
  override ageMilliseconds = 0;
  refreshes = 0;
  newer: ClusterView | undefined;
  latencyMilliseconds = 5;

  constructor(
    private readonly view: Observable<ClusterView>,
    private readonly timer: ManualTimerService,
  ) {
    super();
  }

  override async refresh(timeoutMilliseconds: number): Promise<void> {
    this.refreshes += 1;
    const {latencyMilliseconds, timer, newer} = this;
    await timer.sleep(Math.min(latencyMilliseconds, timeoutMilliseconds));
    const arrives = latencyMilliseconds <= timeoutMilliseconds;
    if (newer === undefined || !arrives) return;
    this.view.set(newer);
    this.ageMilliseconds = 0;
  }
}

/** Runs sessions of one VM whose view, time and members the test controls. */
export class SessionBench {
  readonly timer = ManualTimerService.create();
  readonly view: Observable<ClusterView>;
  readonly freshness: FakeFreshness;
  readonly router = new FakeRouter();
  readonly quota = new FakeQuota();
  /** The exceptions with which sessions ended. */
  readonly crashes: unknown[] = [];
  /** The sessions, in the order in which they were started. */
  readonly sessions: StatementSession[] = [];
  readonly observer = new RecordingObserver();
  private readonly authenticator: Authenticator;

  constructor(
    organisations?: readonly Organisation[],
    private readonly logger = Logger.silent(),
  ) {
    const {timer} = this;
    this.view = Observable.of(viewOf(1, organisations));
    this.freshness = new FakeFreshness(this.view, timer);
    const {view, freshness} = this;
    this.authenticator = Authenticator.create({view, timer, freshness});
  }

  async start(
    credential: string | undefined,
    database = KEYED,
  ): Promise<ScriptedConnection> {
    const link = this.begin(credential, database);
    await this.pass(20);
    return link;
  }

  /** Begins a session, of which nothing has happened yet. */
  begin(credential: string | undefined, database = KEYED): ScriptedConnection {
    const link = new ScriptedConnection({database, credential});
    const {view, timer, observer, authenticator, logger, quota} = this;
    const router = this.router as unknown as StatementRouter;
    const session = StatementSession.create({
      ...{link, view, timer, observer, authenticator, logger, quota},
      router,
    });
    this.sessions.push(session);
    void session.run().catch(failure => this.crashes.push(failure));
    return link;
  }

  /** Lets time pass, and pending tasks run before and after it. */
  async pass(milliseconds: number): Promise<void> {
    await setImmediate();
    await this.timer.advanceAsync(milliseconds);
    await setImmediate();
  }

  /** Sends a statement and returns the kind of failure, or of answer. */
  async ask(link: ScriptedConnection, statement = READ): Promise<string> {
    const before = link.answers.length;
    link.send(statement);
    await this.pass(20);
    const answer = link.answers[before];
    if (answer === undefined) return 'none';
    return answer.kind === 'failure' ? answer.failure.kind : answer.kind;
  }
}

export const READ: Statement = {kind: 'plain', text: 'READ a', access: 'read'};
export const BEGIN: Statement = {kind: 'begin', readOnly: false};
