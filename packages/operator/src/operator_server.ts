import {timingSafeEqual} from 'node:crypto';
import fastify, {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import {Either} from 'purify-ts';
import {
  AuditRange,
  AuditTrail,
  ChangeOrigin,
  CommandAnswer,
  ControlCommand,
  ControlError,
  ControlReport,
} from '@apricotlock/control';
import {Observable} from '@apricotlock/flow';
import {Announcement, readAnnouncement} from '@apricotlock/member';
import {KeyRing, UnauthenticatedConnectionGuard} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {Address, Catalogue, MemberState} from '@apricotlock/topology';
import {validateContent} from './catalogue_content.js';
import {createOperatorListener, OperatorTls} from './operator_listener.js';
import {
  auditQuerySchema,
  ChangeReport,
  putCatalogueSchema,
  serverChangeSchema,
  ServerReport,
  StatusReport,
} from './operator_messages.js';

const MAXIMUM_BODY_BYTES = 16 << 20;
const MAXIMUM_ANNOUNCEMENT_BYTES = 64 << 10;
const LISTEN_BACKLOG = 4_096;
const ANNOUNCEMENTS_PATH = '/v1/announcements';
const METRICS_PATH = '/metrics';
const PUBLIC_PATHS: ReadonlySet<string> = new Set(['/health', '/ready']);
const HTTP_ACCEPTED = 202;
const HTTP_BAD_REQUEST = 400;
const HTTP_UNAUTHORIZED = 401;
const HTTP_CONFLICT = 409;
const HTTP_UNPROCESSABLE = 422;
const HTTP_UNAVAILABLE = 503;

/** The operations of the process that the API exposes. */
export abstract class OperatorBackend {
  abstract status(): StatusReport;
  abstract servers(): readonly ServerReport[];
  abstract catalogue(): Catalogue;
  abstract isReady(): boolean;
  abstract metrics(): Promise<string>;
  abstract audit(range: AuditRange): Promise<Either<ControlError, AuditTrail>>;
  /** Fetches the control leader's report on the replicated log. */
  abstract controlReport(): Promise<Either<ControlError, ControlReport>>;
  abstract propose(
    command: ControlCommand,
  ): Promise<Either<ControlError, CommandAnswer>>;
  abstract recordAnnouncement(announcement: Announcement): Promise<void>;
  /**
   * Asks an entry VM to drain. Resolves to `false` if the VM is not live or
   * does not answer.
   */
  abstract drainMachine(name: string): Promise<boolean>;
  /**
   * Waits, up to a deadline, until a view of at least this index is in force on
   * every live VM. Resolves to the names of the VMs that have not confirmed
   * it by then.
   */
  abstract findMachinesMissingView(index: number): Promise<readonly string[]>;
  abstract wallClock(): number;
}

/** Options of {@link OperatorServer}. */
export interface OperatorServerOptions {
  readonly listen: Address;
  /** The bearer tokens that give operators access to the whole API. */
  readonly operatorTokens: Observable<KeyRing>;
  /** The optional bearer tokens that give access to the metrics only. */
  readonly metricsTokens: Observable<KeyRing | undefined>;
  /** The bearer tokens with which backend servers post announcements. */
  readonly memberKeys: Observable<KeyRing>;
  /** The TLS identity of the API; without it, the API uses HTTP without TLS. */
  readonly tls: Observable<OperatorTls | undefined>;
  readonly timer: TimerService;
  readonly backend: OperatorBackend;
}

/** Time that calls in progress get to end when the server closes. */
const CLOSE_TIMEOUT_MILLISECONDS = 1_000;
const CLOSE_POLL_INTERVAL_MILLISECONDS = 10;

/**
 * The HTTP server for the operators' API, announcements of backend servers,
 * health checks and metrics.
 */
export class OperatorServer {
  /** Calls of authorized operators that have not been answered. */
  private callsInProgress = 0;

  private constructor(
    private readonly server: FastifyInstance,
    private readonly options: OperatorServerOptions,
  ) {}

  /** Starts listening. Throws if the address cannot be bound. */
  static async start(options: OperatorServerOptions): Promise<OperatorServer> {
    let guard: UnauthenticatedConnectionGuard | undefined;
    const server = fastify({
      bodyLimit: MAXIMUM_BODY_BYTES,
      forceCloseConnections: true,
      serverFactory: handler => {
        const {tls, timer} = options;
        const listener = createOperatorListener(handler, tls, timer);
        guard = listener.guard;
        return listener.server;
      },
    });
    const api = new OperatorServer(server, options);
    server.addHook('onRequest', async (request, reply) => {
      if (isPublicPath(request)) {
        reply.header('connection', 'close');
        return undefined;
      }
      if (!api.isAuthorized(request)) return unauthorized(reply);
      guard?.markAuthenticated(request.raw.socket);
      api.callsInProgress += 1;
      reply.raw.once('close', () => (api.callsInProgress -= 1));
      return undefined;
    });
    api.addMonitoringRoutes();
    api.addAnnouncementRoute();
    api.addReadRoutes();
    api.addChangeRoutes();
    await server.listen({
      host: options.listen.host,
      port: options.listen.port,
      backlog: LISTEN_BACKLOG,
    });
    return api;
  }

  /**
   * Stops listening, waits for a limited time until the calls in progress have
   * been answered, and closes all connections.
   */
  async close(): Promise<void> {
    const {timer} = this.options;
    this.server.server.close();
    const deadline = timer.now() + CLOSE_TIMEOUT_MILLISECONDS;
    while (this.callsInProgress > 0 && timer.now() < deadline) {
      await timer.sleep(CLOSE_POLL_INTERVAL_MILLISECONDS);
    }
    await this.server.close();
  }

  private addMonitoringRoutes(): void {
    const {backend} = this.options;
    this.server.get('/health', async () => ({alive: true}));
    this.server.get('/ready', async (_request, reply) => {
      const ready = backend.isReady();
      return reply.code(ready ? 200 : HTTP_UNAVAILABLE).send({ready});
    });
    this.server.get('/metrics', async (_request, reply) => {
      const text = await backend.metrics();
      return reply.type('text/plain; version=0.0.4').send(text);
    });
  }

  private addAnnouncementRoute(): void {
    const {backend} = this.options;
    const bodyLimit = MAXIMUM_ANNOUNCEMENT_BYTES;
    this.server.post(
      '/v1/announcements',
      {bodyLimit},
      async (request, reply) => {
        const announcement = readAnnouncement(request.body);
        if (announcement === undefined) {
          return reply.code(HTTP_BAD_REQUEST).send({error: 'malformed'});
        }
        await backend.recordAnnouncement(announcement);
        return reply.code(HTTP_ACCEPTED).send({heard: true});
      },
    );
  }

  private addReadRoutes(): void {
    const {backend} = this.options;
    this.get('/v1/status', async () => backend.status());
    this.get('/v1/servers', async () => ({servers: backend.servers()}));
    this.get('/v1/catalogue', async () => backend.catalogue());
    this.get('/v1/audit', async (request, reply) => {
      const range = auditQuerySchema.safeParse(request.query);
      if (!range.success) {
        return reply.code(HTTP_BAD_REQUEST).send({error: range.error.message});
      }
      const {since: afterIndex, from} = range.data;
      const trail = await backend.audit({afterIndex, from});
      return valueOrUnavailable(trail, reply);
    });
    this.get('/v1/control', async (_request, reply) =>
      valueOrUnavailable(await backend.controlReport(), reply),
    );
  }

  private addChangeRoutes(): void {
    const {backend} = this.options;
    this.server.put('/v1/catalogue', async (request, reply) => {
      return this.putCatalogue(request, reply);
    });
    this.server.post('/v1/servers/:name/:action', async (request, reply) => {
      return this.changeServer(request, reply);
    });
    this.server.post('/v1/vms/:name/drain', async (request, reply) => {
      const {name} = request.params as {readonly name: string};
      const drained = await backend.drainMachine(name);
      const report: ChangeReport = drained
        ? {result: 'accepted'}
        : {result: 'refused', reason: `no live VM "${name}"`};
      return reply.code(drained ? 200 : HTTP_UNPROCESSABLE).send(report);
    });
  }

  private async putCatalogue(
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<unknown> {
    const body = putCatalogueSchema.safeParse(request.body);
    if (!body.success) {
      return reply.code(HTTP_BAD_REQUEST).send({error: body.error.message});
    }
    const {changeId, baseVersion, entries, organisations} = body.data;
    const validated = validateContent(entries, organisations);
    if (validated.isLeft()) {
      const faults = validated.extract();
      return reply.code(HTTP_UNPROCESSABLE).send({result: 'refused', faults});
    }
    const command: ControlCommand = {
      kind: 'putCatalogue',
      origin: this.origin(request, changeId),
      baseVersion,
      ...validated.unsafeCoerce(),
    };
    return this.proposeChange(command, request, reply);
  }

  private async changeServer(
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<unknown> {
    const body = serverChangeSchema.safeParse(request.body);
    const {name, action} = request.params as {
      readonly name: string;
      readonly action: string;
    };
    const state = SERVER_ACTIONS.get(action);
    if (!body.success || state === undefined) {
      const error =
        'expected a changeId and the action drain, remove or activate';
      return reply.code(HTTP_BAD_REQUEST).send({error});
    }
    const command: ControlCommand = {
      kind: 'setMemberState',
      origin: this.origin(request, body.data.changeId),
      member: name,
      state,
    };
    return this.proposeChange(command, request, reply);
  }

  private async proposeChange(
    command: ControlCommand,
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<unknown> {
    const {backend} = this.options;
    const answer = await backend.propose(command);
    if (answer.isLeft()) {
      const error = answer.extract() as ControlError;
      return reply.code(HTTP_UNAVAILABLE).send({error: error.kind, ...error});
    }
    const outcome = answer.unsafeCoerce();
    if (outcome.kind === 'conflict') {
      const {version} = outcome;
      return reply.code(HTTP_CONFLICT).send({result: 'conflict', version});
    }
    if (outcome.kind === 'refused') {
      const {reason} = outcome;
      return reply.code(HTTP_UNPROCESSABLE).send({result: 'refused', reason});
    }
    const {version, index} = outcome;
    const {wait} = request.query as {readonly wait?: string};
    const report: ChangeReport = {result: 'accepted', version, index};
    if (wait === undefined) return report;
    return {...report, missing: await backend.findMachinesMissingView(index)};
  }

  private get(
    path: string,
    answer: (request: FastifyRequest, reply: FastifyReply) => Promise<unknown>,
  ): void {
    this.server.get(path, async (request, reply) => {
      return answer(request, reply);
    });
  }

  /**
   * Returns whether the token of the request permits it. Called before the body
   * is read, so that unauthenticated clients cannot make the server buffer one.
   */
  private isAuthorized(request: FastifyRequest): boolean {
    const {operatorTokens, memberKeys, metricsTokens} = this.options;
    const path = pathOf(request);
    if (path === ANNOUNCEMENTS_PATH) {
      return hasToken(request, memberKeys.current);
    }
    if (hasToken(request, operatorTokens.current)) return true;
    const metrics = metricsTokens.current;
    const isMetricsRequest = path === METRICS_PATH && metrics !== undefined;
    return isMetricsRequest && hasToken(request, metrics);
  }

  private origin(request: FastifyRequest, changeId: string): ChangeOrigin {
    const actorHeader = request.headers['x-apricotlock-actor'];
    const actor =
      typeof actorHeader === 'string' ? actorHeader.slice(0, 200) : 'operator';
    return {changeId, actor, at: this.options.backend.wallClock()};
  }
}

const SERVER_ACTIONS: ReadonlyMap<string, MemberState> = new Map([
  ['drain', 'draining'],
  ['remove', 'removed'],
  ['activate', 'active'],
]);

function valueOrUnavailable<T>(
  answer: Either<ControlError, T>,
  reply: FastifyReply,
): unknown {
  return answer.caseOf<unknown>({
    Left: error => reply.code(HTTP_UNAVAILABLE).send({error: error.reason}),
    Right: found => found,
  });
}

function pathOf(request: FastifyRequest): string {
  return request.url.split('?', 1)[0] as string;
}

/** Returns whether the request is a load balancer's check, without a token. */
function isPublicPath(request: FastifyRequest): boolean {
  return PUBLIC_PATHS.has(pathOf(request));
}

function hasToken(request: FastifyRequest, keyRing: KeyRing): boolean {
  const actual = Buffer.from(request.headers.authorization ?? '');
  return keyRing.accepted.some(token => {
    const expected = Buffer.from(`Bearer ${token}`);
    return (
      actual.length === expected.length && timingSafeEqual(actual, expected)
    );
  });
}

function unauthorized(reply: FastifyReply): FastifyReply {
  return reply
    .code(HTTP_UNAUTHORIZED)
    .header('connection', 'close')
    .send({error: 'unauthorized'});
}
