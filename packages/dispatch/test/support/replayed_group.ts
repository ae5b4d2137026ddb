import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {createChannelPair} from '@apricotlock/peer';
import {LogPosition} from '@apricotlock/statement';
import {ManualTimerService} from '@apricotlock/timer';
import {
  CatalogueEntry,
  ClusterView,
  DatabaseGroup,
  EMPTY_VIEW,
  Member,
  ServiceTerms,
} from '@apricotlock/topology';
import {
  WorkClientMessage,
  WorkRequest,
  WorkServerMessage,
} from '@apricotlock/work';
import {
  DispatchedWork,
  PositionSample,
  PrimaryPositionTracker,
  RoutedStatement,
  RouteOutcome,
  RoutingEvent,
  SessionObserver,
  StatementRouter,
  WorkDispatcher,
} from '../../src/index.js';

const DATABASE = 'ledger';

/** Terms of reads that any member with recent data may run. */
export const READ_TERMS: ServiceTerms = {
  consistency: 'boundedStaleness',
  statementMilliseconds: 2_000,
  objectiveMilliseconds: 400,
  maximumStalenessMilliseconds: 1_500,
  priority: 1,
};
/** The message of a VM that gave up a read without an answer. */
export const LOST: WorkServerMessage = {
  kind: 'lost',
  mayHaveRun: true,
  timedOut: false,
  reason: 'the connection was closed',
};

/** What a member answers to a request, and after how long. */
export interface Reply {
  /** `undefined` if the member never answers. */
  readonly message: WorkServerMessage | undefined;
  readonly afterMilliseconds: number;
}

/** Creates the answer of a member that completed a statement. */
export function completed(position?: LogPosition): WorkServerMessage {
  const end = {kind: 'complete', signature: ''} as const;
  const answer = {rows: [], end, state: 'idle', position} as const;
  return {kind: 'answer', answer, expectedWaitMilliseconds: 0};
}

/** Creates an answer with an error. */
export function failed(
  kind: 'behind' | 'failed',
  position?: LogPosition,
): WorkServerMessage {
  const end = {kind: 'error', error: {kind, code: kind, text: ''}} as const;
  const answer = {rows: [], end, state: 'idle', position} as const;
  return {kind: 'answer', answer, expectedWaitMilliseconds: 0};
}

class CountingObserver extends SessionObserver {
  readonly events: RoutingEvent[] = [];

  override onAnswer(): void {
    return undefined;
  }

  override onFailure(): void {
    return undefined;
  }

  override onRouting(event: RoutingEvent): void {
    this.events.push(event);
  }
}

/** A router before a group whose members answer as a test says. */
export class ReplayedGroup {
  readonly requests: WorkRequest[] = [];
  readonly observer = new CountingObserver();
  readonly router: StatementRouter;
  private readonly view: Observable<ClusterView>;
  /** The newest sample of the position of the primary. */
  sample: PositionSample = {
    term: 1,
    requestedAt: 0,
    position: {term: 1, number: 1},
  };

  constructor(
    private readonly terms: ServiceTerms,
    private readonly reply: (
      request: WorkRequest,
    ) => Reply | Promise<WorkServerMessage>,
    readonly timer = ManualTimerService.create(),
    self = 'vm-1',
    members: readonly string[] = ['primary', 'first', 'second'],
  ) {
    const tracker: Partial<PrimaryPositionTracker> = {
      waitForCoveringSample: async () => this.sample,
      newestSample: () => this.sample,
      silentMilliseconds: () => 0,
    };
    const dispatcher: Partial<WorkDispatcher> = {
      dispatch: (_group, request) => this.dispatch(request),
      checkLiveness: async () => true,
      recordUnreachable: () => undefined,
    };
    const groups = [createGroup(members)];
    this.view = Observable.of<ClusterView>({...EMPTY_VIEW, groups});
    this.router = StatementRouter.create({
      self,
      dataCentre: 'here',
      view: this.view,
      dispatcher: dispatcher as WorkDispatcher,
      primaryPositions: tracker as PrimaryPositionTracker,
      isIsolated: () => false,
      timer: this.timer,
      logger: Logger.silent(),
      observer: this.observer,
    });
  }

  /** Starts a read, or a write if it is not read-only. */
  start(changes: Partial<RoutedStatement> = {}): Promise<RouteOutcome> {
    return this.router.route({
      requestId: 'q',
      text: {kind: 'plain', text: 'READ a'},
      opens: 'none',
      values: [],
      readOnly: true,
      entry: {name: DATABASE, database: DATABASE} as CatalogueEntry,
      terms: this.terms,
      receivedAt: this.timer.now(),
      ownWrite: undefined,
      ...changes,
    });
  }

  /** Runs a read to its end, and returns its outcome and duration. */
  async read(
    changes: Partial<RoutedStatement> = {},
  ): Promise<{outcome: RouteOutcome; milliseconds: number}> {
    const startedAt = this.timer.now();
    let outcome: RouteOutcome | undefined;
    void this.start(changes).then(result => (outcome = result));
    while (outcome === undefined) await this.timer.advanceAsync(1);
    return {outcome, milliseconds: this.timer.now() - startedAt};
  }

  /** Takes the group's primary from the view, as when a failover begins. */
  removePrimary(): void {
    const {current} = this.view;
    const groups = current.groups.map(group => ({
      ...group,
      primary: undefined,
    }));
    this.view.set({...current, groups});
  }

  /** Returns how many requests a member has received. */
  requestsTo(member: string): number {
    return this.requests.filter(request => request.member === member).length;
  }

  /** Returns how often the router reported an event. */
  countOf(event: RoutingEvent): number {
    return this.observer.events.filter(each => each === event).length;
  }

  private dispatch(request: WorkRequest): DispatchedWork {
    this.requests.push(request);
    const {client, server} = createChannelPair<
      WorkClientMessage,
      WorkServerMessage
    >();
    const reply = this.reply(request);
    if (reply instanceof Promise) void reply.then(each => server.send(each));
    else {
      const {message, afterMilliseconds} = reply;
      this.timer.once(afterMilliseconds, () => message && server.send(message));
    }
    return {channel: client, machine: 'vm-1'};
  }
}

function member(name: string): Member {
  const address = {host: '127.0.0.1', port: 1};
  return {
    name,
    database: DATABASE,
    dataCentre: 'here',
    address,
    apiAddress: address,
    incarnation: 1,
    state: 'active',
  };
}

function createGroup(members: readonly string[]): DatabaseGroup {
  return {
    database: DATABASE,
    size: members.length,
    term: 1,
    primary: 'primary',
    members: members.map(member),
  };
}
