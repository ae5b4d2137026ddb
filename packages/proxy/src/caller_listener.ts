import {randomInt} from 'node:crypto';
import {createServer, Server, Socket} from 'node:net';
import {SecureContext} from 'node:tls';
import {Either, Left, Right} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {StatementClassifier} from '@apricotlock/sql';
import {TimerService} from '@apricotlock/timer';
import {
  Address,
  CatalogueEntry,
  ClusterView,
  findEntry,
} from '@apricotlock/topology';
import {
  acceptCaller,
  AcceptError,
  CallerAuthentication,
  errorResponse,
  SqlState,
  StartUpParameters,
} from '@apricotlock/wire';
import {
  CallerSession,
  SessionObserver,
  startUpSettings,
} from './caller_session.js';
import {Router} from './router.js';

const MAXIMUM_MESSAGE_BYTES = 16 << 20;
const SERVER_VERSION = '17.0';
const MAXIMUM_SECRET = 2 ** 31;
const DRAIN_POLL_MILLISECONDS = 20;

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
}

interface OpenSession {
  readonly session: CallerSession;
  readonly socket: Socket;
}

/** Takes callers' connections; each has a task of its own. */
export class CallerListener {
  private readonly sessions = new Set<OpenSession>();
  private nextProcessId = 1;
  private draining = false;

  private constructor(
    private readonly options: CallerListenerOptions,
    private readonly classifier: StatementClassifier,
    private readonly server: Server,
  ) {
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
    const listener = new CallerListener(options, classifier, server);
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
   * Lets no caller in any more, ends sessions when they are idle, and waits
   * for the others. Gives how many had to be cut when time was up.
   */
  async drain(deadlineMilliseconds: number): Promise<number> {
    this.draining = true;
    this.server.close();
    const {timer} = this.options;
    const deadline = timer.now() + deadlineMilliseconds;
    while (this.sessions.size > 0 && timer.now() < deadline) {
      for (const open of this.sessions) this.endIfIdle(open);
      await timer.sleep(DRAIN_POLL_MILLISECONDS);
    }
    const cut = this.sessions.size;
    for (const {socket} of this.sessions) socket.destroy();
    return cut;
  }

  private endIfIdle({session, socket}: OpenSession): void {
    session.endWhenIdle();
    if (!session.idle) return;
    socket.end(
      errorResponse({
        severity: 'FATAL',
        code: SqlState.ADMIN_SHUTDOWN,
        message: 'this proxy is shutting down; connect again',
      }),
    );
  }

  private async serve(socket: Socket): Promise<void> {
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    const processId = this.nextProcessId++;
    const accepted = await acceptCaller(socket, {
      maximumMessageBytes: MAXIMUM_MESSAGE_BYTES,
      serverVersion: SERVER_VERSION,
      secureContext: this.options.secureContext,
      processId,
      secret: randomInt(MAXIMUM_SECRET),
      authenticate: parameters => this.authenticate(parameters),
    });
    if (accepted.isLeft()) {
      socket.end();
      return;
    }
    const caller = accepted.unsafeCoerce();
    const name = caller.parameters.user;
    const database = this.entry(name)?.database ?? name;
    const session = CallerSession.create({
      id: `${this.options.self}/${processId}`,
      caller,
      settings: startUpSettings(caller.parameters, database),
      entry: () => this.entry(name),
      router: this.options.router,
      classifier: this.classifier,
      observer: this.options.observer,
    });
    const open = {session, socket};
    this.sessions.add(open);
    try {
      await session.run();
    } finally {
      this.sessions.delete(open);
      caller.stream.socket.end();
    }
  }

  private entry(name: string): CatalogueEntry | undefined {
    return findEntry(this.options.view.current.catalogue, name);
  }

  private authenticate(
    parameters: StartUpParameters,
  ): Either<AcceptError, CallerAuthentication> {
    if (this.draining) return Left({kind: 'draining'});
    const {user} = parameters;
    const entry = this.entry(user);
    if (entry === undefined) return Left({kind: 'unknownUser', user});
    const database = parameters['database'] ?? user;
    if (database !== entry.database) {
      return Left({kind: 'unknownDatabase', database});
    }
    const {verifier} = entry;
    if (verifier === undefined) return Right({method: 'trust'});
    return Right({method: 'scram', verifier});
  }
}
