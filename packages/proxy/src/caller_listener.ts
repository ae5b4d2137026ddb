import {randomInt} from 'node:crypto';
import {createServer, Server, Socket} from 'node:net';
import {SecureContext} from 'node:tls';
import {Either, Left} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {StatementClassifier} from '@apricotlock/sql';
import {TimerService} from '@apricotlock/timer';
import {Address, ClusterView} from '@apricotlock/topology';
import {
  acceptCaller,
  AcceptedCaller,
  AcceptError,
  CallerAuthentication,
  CancelRequest,
  errorResponse,
  SqlState,
  StartUpParameters,
} from '@apricotlock/wire';
import {CallerSession, SessionObserver} from './caller_session.js';
import {CancelRouter} from './cancel_router.js';
import {EntryGatekeeper} from './entry_gatekeeper.js';
import {Router} from './router.js';
import {DEFAULT_SETTINGS} from './session_settings.js';
import {startUpSettings} from './start_up_settings.js';

const MAXIMUM_MESSAGE_BYTES = 16 << 20;
const SERVER_VERSION = '17.0';
const MAXIMUM_SECRET = 2 ** 31;
const DRAIN_POLL_MILLISECONDS = 20;
/** How long a shutdown waits for the next request of an idle session. */
const NEXT_ANSWER_MILLISECONDS = 500;
const SHUTTING_DOWN = errorResponse({
  severity: 'FATAL',
  code: SqlState.ADMIN_SHUTDOWN,
  message: 'this proxy is shutting down; connect again',
});
const START_UP_LIMIT_MILLISECONDS = 10_000;
/** Callers that are connected or connecting, at most. */
const MAXIMUM_SESSIONS = 20_000;

/** What the listener needs. */
export interface CallerListenerOptions {
  readonly self: string;
  readonly listen: Address;
  readonly view: Observable<ClusterView>;
  readonly router: Router;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly observer: SessionObserver;
  readonly secureContext: SecureContext | undefined;
  readonly cancels: CancelRouter;
}

interface OpenSession {
  readonly secret: number;
  readonly session: CallerSession;
  readonly socket: Socket;
}

/** Takes callers' connections; each has a task of its own. */
export class CallerListener {
  /** By process id. */
  private readonly sessions = new Map<number, OpenSession>();
  private connecting = 0;
  private draining = false;

  private constructor(
    private readonly options: CallerListenerOptions,
    private readonly classifier: StatementClassifier,
    private readonly server: Server,
    private readonly gatekeeper: EntryGatekeeper,
  ) {
    options.cancels.onRequest(request => this.cancel(request));
    server.on('connection', socket => {
      this.serve(socket).catch((failure: unknown) => {
        options.logger.error('a session failed', {failure: String(failure)});
        socket.destroy();
      });
    });
  }

  /** Starts to listen. Throws if the address can't be had. */
  static async start(options: CallerListenerOptions): Promise<CallerListener> {
    const classifier = await StatementClassifier.create();
    const server = createServer({noDelay: true});
    const gatekeeper = EntryGatekeeper.create(
      () => options.view.current.catalogue,
    );
    const listener = new CallerListener(
      options,
      classifier,
      server,
      gatekeeper,
    );
    const {host, port} = options.listen;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    return listener;
  }

  /** How many callers are connected. */
  get sessionCount(): number {
    return this.sessions.size;
  }

  /**
   * Lets no caller in any more and ends sessions, most with their next answer:
   * a session ended while it is idle may have a request on its way. Gives how
   * many had to be cut when time was up.
   */
  async drain(deadlineMilliseconds: number): Promise<number> {
    this.draining = true;
    this.server.close();
    const {timer} = this.options;
    const startedAt = timer.now();
    const deadline = startedAt + deadlineMilliseconds;
    const patience = Math.min(NEXT_ANSWER_MILLISECONDS, deadlineMilliseconds);
    for (const {session} of this.sessions.values()) session.endWhenIdle();
    while (this.sessions.size > 0 && timer.now() < deadline) {
      if (timer.now() - startedAt >= patience) this.endIdle();
      await timer.sleep(DRAIN_POLL_MILLISECONDS);
    }
    const cut = this.sessions.size;
    for (const {socket} of this.sessions.values()) socket.destroy();
    return cut;
  }

  private endIdle(): void {
    for (const {session, socket} of this.sessions.values()) {
      session.endWhenIdle();
      if (session.idle) socket.end(SHUTTING_DOWN);
    }
  }

  /** Cancels what a session runs; `false` if there is no such session here. */
  private cancel({processId, secret}: CancelRequest): boolean {
    const open = this.sessions.get(processId);
    if (open?.secret !== secret) return false;
    open.session.cancel();
    return true;
  }

  private async serve(socket: Socket): Promise<void> {
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    const processId = this.options.cancels.nextProcessId();
    const secret = randomInt(MAXIMUM_SECRET);
    const accepted = await this.accept(socket, processId, secret);
    if (accepted.isLeft()) {
      const error = accepted.extract() as AcceptError;
      if (error.kind === 'cancelRequest') {
        await this.options.cancels.cancel(error.request);
      }
      socket.end();
      return;
    }
    await this.serveCaller(accepted.unsafeCoerce(), processId, secret);
  }

  private async accept(
    socket: Socket,
    processId: number,
    secret: number,
  ): Promise<Either<AcceptError, AcceptedCaller>> {
    const stopAlarm = this.options.timer.once(START_UP_LIMIT_MILLISECONDS, () =>
      socket.destroy(),
    );
    this.connecting += 1;
    const accepted = await acceptCaller(socket, {
      maximumMessageBytes: MAXIMUM_MESSAGE_BYTES,
      serverVersion: SERVER_VERSION,
      secureContext: this.options.secureContext,
      processId,
      secret,
      authenticate: parameters => this.authenticate(parameters),
      authorize: parameters => this.authorize(parameters),
    });
    this.connecting -= 1;
    stopAlarm();
    return accepted;
  }

  private async serveCaller(
    caller: AcceptedCaller,
    processId: number,
    secret: number,
  ): Promise<void> {
    const {parameters, stream} = caller;
    const {user} = parameters;
    const {self, router, observer} = this.options;
    const database = this.gatekeeper.entryOf(user)?.database ?? user;
    const session = CallerSession.create({
      id: `${self}/${processId}`,
      caller,
      settings: startUpSettings(parameters, database).orDefault(
        DEFAULT_SETTINGS,
      ),
      entry: () => this.gatekeeper.entryOf(user),
      router,
      classifier: this.classifier,
      observer,
    });
    this.sessions.set(processId, {session, socket: stream.socket, secret});
    try {
      await session.run();
    } finally {
      this.sessions.delete(processId);
      // In one piece with the last answer, before the caller sends another.
      if (this.draining) stream.socket.end(SHUTTING_DOWN);
      else stream.socket.end();
    }
  }

  private authenticate(
    parameters: StartUpParameters,
  ): Either<AcceptError, CallerAuthentication> {
    if (this.draining) return Left({kind: 'draining'});
    if (this.sessions.size + this.connecting > MAXIMUM_SESSIONS) {
      return Left({kind: 'tooManySessions'});
    }
    return this.gatekeeper.authenticate(parameters);
  }

  private authorize(
    parameters: StartUpParameters,
  ): Either<AcceptError, unknown> {
    const {user} = parameters;
    const database = parameters['database'] ?? user;
    return this.gatekeeper
      .authorize(parameters)
      .chain(() => startUpSettings(parameters, database));
  }
}
