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
import {Announcement, readAnnouncement} from '@apricotlock/member';
import {
  Address,
  Catalogue,
  checkEntries,
  MemberState,
} from '@apricotlock/topology';
import {
  auditQuerySchema,
  ChangeReport,
  putCatalogueSchema,
  serverChangeSchema,
  ServerReport,
  StatusReport,
} from './operator_messages.js';

const MAXIMUM_BODY_BYTES = 16 << 20;
const REQUEST_TIMEOUT_MILLISECONDS = 10_000;
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
  /** Operators prove themselves with this. */
  readonly operatorToken: string;
  /** Backend servers prove themselves with this. */
  readonly memberKey: string;
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
    const server = fastify({
      bodyLimit: MAXIMUM_BODY_BYTES,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      forceCloseConnections: true,
    });
    const api = new OperatorServer(server, options);
    api.addOpenRoutes();
    api.addAnnouncementRoute();
    api.addReadRoutes();
    api.addChangeRoutes();
    await server.listen({
      host: options.listen.host,
      port: options.listen.port,
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
    const {backend, memberKey} = this.options;
    this.server.post('/v1/announcements', async (request, reply) => {
      if (!hasToken(request, memberKey)) return unauthorized(reply);
      const announcement = readAnnouncement(request.body);
      if (announcement === undefined) {
        return reply.code(HTTP_BAD_REQUEST).send({error: 'malformed'});
      }
      await backend.announced(announcement);
      return reply.code(HTTP_ACCEPTED).send({heard: true});
    });
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
      if (!this.isOperator(request)) return unauthorized(reply);
      return this.putCatalogue(request, reply);
    });
    this.server.post('/v1/servers/:name/:action', async (request, reply) => {
      if (!this.isOperator(request)) return unauthorized(reply);
      return this.changeServer(request, reply);
    });
    this.server.post('/v1/vms/:name/drain', async (request, reply) => {
      if (!this.isOperator(request)) return unauthorized(reply);
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
    const checked = checkEntries(entries);
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
      if (!this.isOperator(request)) return unauthorized(reply);
      return answer(request, reply);
    });
  }

  private isOperator(request: FastifyRequest): boolean {
    return hasToken(request, this.options.operatorToken);
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

function hasToken(request: FastifyRequest, token: string): boolean {
  const given = Buffer.from(request.headers.authorization ?? '');
  const wanted = Buffer.from(`Bearer ${token}`);
  return given.length === wanted.length && timingSafeEqual(given, wanted);
}

function unauthorized(reply: FastifyReply): FastifyReply {
  return reply.code(HTTP_UNAUTHORIZED).send({error: 'unauthorized'});
}
