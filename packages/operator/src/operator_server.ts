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
import {SecretRing, StrangerGuard} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {
  Address,
  Catalogue,
  validateEntries,
  MemberState,
} from '@apricotlock/topology';
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
const OPEN_PATHS: ReadonlySet<string> = new Set(['/health', '/ready']);
const HTTP_ACCEPTED = 202;
const HTTP_BAD_REQUEST = 400;
const HTTP_UNAUTHORIZED = 401;
const HTTP_CONFLICT = 409;
const HTTP_UNPROCESSABLE = 422;
const HTTP_UNAVAILABLE = 503;

/** What the API acts on: the process behind it. */
export abstract class OperatorBackend {
  abstract status(): StatusReport;
  abstract servers(): readonly ServerReport[];
  abstract catalogue(): Catalogue;
  abstract ready(): boolean;
  abstract metrics(): Promise<string>;
  abstract audit(range: AuditRange): Promise<Either<ControlError, AuditTrail>>;
  /** How the replicated log is doing, from its leader. */
  abstract controlReport(): Promise<Either<ControlError, ControlReport>>;
  abstract propose(
    command: ControlCommand,
  ): Promise<Either<ControlError, CommandAnswer>>;
  abstract announced(announcement: Announcement): Promise<void>;
  /** Makes an entry VM drain; `false` if it is not known. */
  abstract drainMachine(name: string): Promise<boolean>;
  /** Live VMs on which a view of this index is not in force in time. */
  abstract missing(index: number): Promise<readonly string[]>;
  abstract wallClock(): number;
}

/** Options of the API. */
export interface OperatorServerOptions {
  readonly listen: Address;
  /** Operators prove themselves with one of these. */
  readonly operatorTokens: Observable<SecretRing>;
  /** Who reads metrics may have a token for just that. */
  readonly metricsTokens: Observable<SecretRing | undefined>;
  /** Backend servers prove themselves with one of these. */
  readonly memberKeys: Observable<SecretRing>;
  /** Without it the API is in the clear. */
  readonly tls: Observable<OperatorTls | undefined>;
  readonly timer: TimerService;
  readonly backend: OperatorBackend;
}

/** The operators' API, announcements, health and metrics, over HTTP. */
export class OperatorServer {
  private constructor(
    private readonly server: FastifyInstance,
    private readonly options: OperatorServerOptions,
  ) {}

  /** Starts to listen. Throws if the address can't be had. */
  static async start(options: OperatorServerOptions): Promise<OperatorServer> {
    let guard: StrangerGuard | undefined;
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
      if (isOpen(request)) {
        reply.header('connection', 'close');
        return undefined;
      }
      if (!api.mayAsk(request)) return unauthorized(reply);
      guard?.recognise(request.raw.socket);
      return undefined;
    });
    api.addOpenRoutes();
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

  /** Listens no more. */
  async close(): Promise<void> {
    await this.server.close();
  }

  private addOpenRoutes(): void {
    const {backend} = this.options;
    this.server.get('/health', async () => ({alive: true}));
    this.server.get('/ready', async (_request, reply) => {
      const ready = backend.ready();
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
        await backend.announced(announcement);
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
      return orUnavailable(trail, reply);
    });
    this.get('/v1/control', async (_request, reply) =>
      orUnavailable(await backend.controlReport(), reply),
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
    const {changeId, baseVersion, entries} = body.data;
    const checked = validateEntries(entries);
    if (checked.isLeft()) {
      const faults = checked.extract();
      return reply.code(HTTP_UNPROCESSABLE).send({result: 'refused', faults});
    }
    const command: ControlCommand = {
      kind: 'putCatalogue',
      origin: this.origin(request, changeId),
      baseVersion,
      entries: checked.unsafeCoerce(),
    };
    return this.change(command, request, reply);
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
      const error = 'a change id, and drain, remove or activate, are needed';
      return reply.code(HTTP_BAD_REQUEST).send({error});
    }
    const command: ControlCommand = {
      kind: 'setMemberState',
      origin: this.origin(request, body.data.changeId),
      member: name,
      state,
    };
    return this.change(command, request, reply);
  }

  private async change(
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
    return {...report, missing: await backend.missing(index)};
  }

  private get(
    path: string,
    answer: (request: FastifyRequest, reply: FastifyReply) => Promise<unknown>,
  ): void {
    this.server.get(path, async (request, reply) => {
      return answer(request, reply);
    });
  }

  /** Asked before the body is read, so that a stranger's costs nothing. */
  private mayAsk(request: FastifyRequest): boolean {
    const {operatorTokens, memberKeys, metricsTokens} = this.options;
    const path = pathOf(request);
    if (path === ANNOUNCEMENTS_PATH) {
      return hasToken(request, memberKeys.current);
    }
    if (hasToken(request, operatorTokens.current)) return true;
    const metrics = metricsTokens.current;
    const reads = path === METRICS_PATH && metrics !== undefined;
    return reads && hasToken(request, metrics);
  }

  private origin(request: FastifyRequest, changeId: string): ChangeOrigin {
    const named = request.headers['x-apricotlock-actor'];
    const actor = typeof named === 'string' ? named.slice(0, 200) : 'operator';
    return {changeId, actor, at: this.options.backend.wallClock()};
  }
}

const SERVER_ACTIONS: ReadonlyMap<string, MemberState> = new Map([
  ['drain', 'draining'],
  ['remove', 'removed'],
  ['activate', 'active'],
]);

function orUnavailable<T>(
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

/** What the balancer asks before it sends callers. */
function isOpen(request: FastifyRequest): boolean {
  return OPEN_PATHS.has(pathOf(request));
}

function hasToken(request: FastifyRequest, ring: SecretRing): boolean {
  const given = Buffer.from(request.headers.authorization ?? '');
  return ring.accepted.some(token => {
    const wanted = Buffer.from(`Bearer ${token}`);
    return given.length === wanted.length && timingSafeEqual(given, wanted);
  });
}

function unauthorized(reply: FastifyReply): FastifyReply {
  return reply
    .code(HTTP_UNAUTHORIZED)
    .header('connection', 'close')
    .send({error: 'unauthorized'});
}
