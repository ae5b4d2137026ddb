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
  StartUpParameters,
} from '@apricotlock/wire';
import {SHUTTING_DOWN} from './abandoned_batch.js';
import {CallerSession} from './caller_session.js';
import {CancelRouter} from './cancel_router.js';
import {CallerAuthenticator} from './caller_authenticator.js';
import {IdempotencyCleaner} from './idempotency_cleaner.js';
import {Router} from './router.js';
import {DEFAULT_SETTINGS} from './session_settings.js';
import {SessionObserver} from './session_observer.js';
import {readStartUpSettings} from './start_up_settings.js';

/** Largest message accepted from a caller. */
const MAXIMUM_MESSAGE_BYTES = 16 << 20;
/** PostgreSQL version reported to callers as `server_version`. */
const SERVER_VERSION = '17.0';
/** Upper bound, exclusive, of the random secrets for cancel requests. */
const SECRET_LIMIT = 2 ** 31;
/** Interval at which `drain` checks which sessions have ended. */
const DRAIN_POLL_INTERVAL_MILLISECONDS = 20;
/**
 * Time that idle sessions get at shutdown to send one more request, and callers
 * to authenticate. After it, idle sessions are closed without a request, and
 * callers that are still connecting without an answer.
 */
const IDLE_SESSION_GRACE_MILLISECONDS = 500;
/** Time for the last answers to be passed to the kernel after a drain. */
const FLUSH_TIMEOUT_MILLISECONDS = 500;
/** Time for TLS, start-up and authentication before the socket is closed. */
const START_UP_TIMEOUT_MILLISECONDS = 10_000;
/** Maximum number of callers that are connected or connecting. */
const MAXIMUM_SESSIONS = 20_000;

/** Options of {@link CallerListener}. */
export interface CallerListenerOptions {
  /** Name of this entry VM. */
  readonly self: string;
  readonly listen: Address;
  readonly view: Observable<ClusterView>;
  readonly router: Router;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly observer: SessionObserver;
  /** TLS context; `undefined` if callers connect without TLS. */
  readonly secureContext: SecureContext | undefined;
  readonly cancelRouter: CancelRouter;
}

interface OpenSession {
  readonly secret: number;
  readonly session: CallerSession;
  readonly socket: Socket;
}

/** Accepts the connections of callers and runs a session for each. */
export class CallerListener {
  /** Open sessions by process id. */
  private readonly sessions = new Map<number, OpenSession>();
  /** Connections that end and have not passed everything to the kernel. */
  private readonly unflushed = new Set<Socket>();
  private readonly cleaner: IdempotencyCleaner;
  /** Callers that have no session yet, and cancel requests in progress. */
  private readonly connecting = new Set<Socket>();
  private draining = false;

  private constructor(
    private readonly options: CallerListenerOptions,
    private readonly classifier: StatementClassifier,
    private readonly server: Server,
    private readonly authenticator: CallerAuthenticator,
  ) {
    const {router, timer} = options;
    this.cleaner = IdempotencyCleaner.create(router, timer);
    options.cancelRouter.setLocalCancel(request => this.cancel(request));
    server.on('connection', socket => {
      this.serve(socket).catch((failure: unknown) => {
        options.logger.error('caller session failed with an unexpected error', {
          failure: String(failure),
        });
        socket.destroy();
      });
    });
  }

  /** Starts to listen. Throws if the address cannot be bound. */
  static async start(options: CallerListenerOptions): Promise<CallerListener> {
    const classifier = await StatementClassifier.create();
    const server = createServer({noDelay: true});
    const authenticator = CallerAuthenticator.create(
      () => options.view.current.catalogue,
    );
    const listener = new CallerListener(
      options,
      classifier,
      server,
      authenticator,
    );
    const {host, port} = options.listen;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    return listener;
  }

  /** Number of callers that are connected. */
  get sessionCount(): number {
    return this.sessions.size;
  }

  /**
   * Stops accepting callers and ends the sessions. Most sessions end with their
   * next answer, because a session that is closed while idle may have a request
   * in transit. Callers that are still connecting are refused once they have
   * authenticated, so that no session begins. Returns the number of sessions
   * still open at the timeout, which are ended with an error.
   */
  async drain(timeoutMilliseconds: number): Promise<number> {
    this.draining = true;
    this.server.close();
    const {timer} = this.options;
    const startedAt = timer.now();
    const deadline = startedAt + timeoutMilliseconds;
    const idleGraceMilliseconds = Math.min(
      IDLE_SESSION_GRACE_MILLISECONDS,
      timeoutMilliseconds,
    );
    for (const {session} of this.sessions.values()) session.endWhenIdle();
    while (this.callerCount > 0 && timer.now() < deadline) {
      if (timer.now() - startedAt >= idleGraceMilliseconds) {
        await this.endIdle();
      }
      await timer.sleep(DRAIN_POLL_INTERVAL_MILLISECONDS);
    }
    const interruptedCount = this.sessions.size;
    for (const {session, socket} of this.sessions.values()) {
      session.abandon();
      this.endConnection(socket);
    }
    await this.flush();
    return interruptedCount;
  }

  /** Waits until the kernel has what was written to connections that end. */
  private async flush(): Promise<void> {
    const {timer} = this.options;
    const deadline = timer.now() + FLUSH_TIMEOUT_MILLISECONDS;
    while (this.unflushed.size > 0 && timer.now() < deadline) {
      await timer.sleep(DRAIN_POLL_INTERVAL_MILLISECONDS);
    }
  }

  private endConnection(socket: Socket, lastBytes?: Buffer): void {
    if (socket.destroyed || socket.writableEnded) return;
    this.unflushed.add(socket);
    const remove = () => this.unflushed.delete(socket);
    socket.once('finish', remove).once('close', remove);
    if (lastBytes === undefined) socket.end();
    else socket.end(lastBytes);
  }

  private get callerCount(): number {
    return this.sessions.size + this.connecting.size;
  }

  private async endIdle(): Promise<void> {
    for (const socket of this.connecting) socket.destroy();
    // All sockets with data are read between two of these callbacks.
    await nextLoopTurn();
    await nextLoopTurn();
    for (const {session} of this.sessions.values()) session.endIfIdle();
  }

  /** Cancels the statement of a session; returns `false` if there is none. */
  private cancel({processId, secret}: CancelRequest): boolean {
    const found = this.sessions.get(processId);
    if (found?.secret !== secret) return false;
    found.session.cancel();
    return true;
  }

  private async serve(socket: Socket): Promise<void> {
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    const processId = this.options.cancelRouter.allocateProcessId();
    const secret = randomInt(SECRET_LIMIT);
    this.connecting.add(socket);
    socket.once('close', () => this.connecting.delete(socket));
    const accepted = await this.accept(socket, processId, secret);
    if (accepted.isLeft()) {
      const error = accepted.extract() as AcceptError;
      if (error.kind === 'cancelRequest') {
        await this.options.cancelRouter.cancel(error.request);
      }
      this.connecting.delete(socket);
      socket.end();
      return;
    }
    const served = this.serveCaller(accepted.unsafeCoerce(), processId, secret);
    // The session is counted by now, so that a drain always counts the caller.
    this.connecting.delete(socket);
    await served;
  }

  private async accept(
    socket: Socket,
    processId: number,
    secret: number,
  ): Promise<Either<AcceptError, AcceptedCaller>> {
    const cancelTimeout = this.options.timer.once(
      START_UP_TIMEOUT_MILLISECONDS,
      () => socket.destroy(),
    );
    const accepted = await acceptCaller(socket, {
      maximumMessageBytes: MAXIMUM_MESSAGE_BYTES,
      serverVersion: SERVER_VERSION,
      secureContext: this.options.secureContext,
      processId,
      secret,
      authenticate: parameters => this.authenticate(parameters),
      authorize: parameters => this.authorize(parameters),
    });
    cancelTimeout();
    return accepted;
  }

  private async serveCaller(
    caller: AcceptedCaller,
    processId: number,
    secret: number,
  ): Promise<void> {
    const {parameters, stream} = caller;
    const {user} = parameters;
    const {self, router, timer, observer} = this.options;
    const database = this.authenticator.entryFor(user)?.database ?? user;
    const session = CallerSession.create({
      id: `${self}/${processId}`,
      caller,
      settings: readStartUpSettings(parameters, database).orDefault(
        DEFAULT_SETTINGS,
      ),
      entry: () => this.authenticator.entryFor(user),
      router,
      timer,
      cleaner: this.cleaner,
      classifier: this.classifier,
      observer,
    });
    this.sessions.set(processId, {session, socket: stream.socket, secret});
    if (this.draining) session.endWhenIdle();
    try {
      await session.run();
    } finally {
      this.sessions.delete(processId);
      // Sent together with the last answer, so that the caller does not send
      // another request first.
      this.endConnection(
        stream.socket,
        this.draining ? errorResponse(SHUTTING_DOWN) : undefined,
      );
    }
  }

  private authenticate(
    parameters: StartUpParameters,
  ): Either<AcceptError, CallerAuthentication> {
    if (this.draining) return Left({kind: 'draining'});
    if (this.callerCount > MAXIMUM_SESSIONS) {
      return Left({kind: 'tooManySessions'});
    }
    return this.authenticator.authenticate(parameters);
  }

  private authorize(
    parameters: StartUpParameters,
  ): Either<AcceptError, unknown> {
    if (this.draining) return Left({kind: 'draining'});
    const {user} = parameters;
    const database = parameters['database'] ?? user;
    return this.authenticator
      .authorize(parameters)
      .chain(() => readStartUpSettings(parameters, database));
  }
}

function nextLoopTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
