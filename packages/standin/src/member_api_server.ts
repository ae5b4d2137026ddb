import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {z} from 'zod';
import {TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {MemberStatus, statusToJson} from '@apricotlock/member';
import {
  formatPosition,
  parsePosition,
  POSITION_ZERO,
} from '@apricotlock/session';
import {TimerService} from '@apricotlock/timer';
import {parseAddress} from '@apricotlock/topology';
import {MemberRuntime} from './member_runtime.js';
import {recordToJson} from './member_store.js';

const MAXIMUM_BODY_BYTES = 1 << 20;
/** A request for log records is answered after this time without new ones. */
const LOG_LONG_POLL_MILLISECONDS = 500;
const MAXIMUM_RECORDS_PER_RESPONSE = 1_000;
const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_UNAUTHORIZED = 401;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;

const termSchema = z.object({term: z.int()});
const followSchema = z.object({term: z.int(), primaryApiAddress: z.string()});
const commonSchema = z.object({
  term: z.int(),
  boundaries: z.array(z.object({term: z.int(), position: z.string()})),
});
const recordsSchema = z.object({term: z.int(), after: z.string()});

interface ApiResponse {
  readonly code: number;
  readonly body: unknown;
}

/** Serves the member API, including the log for replicas. */
export class MemberApiServer {
  private constructor(
    private readonly runtime: MemberRuntime,
    private readonly timer: TimerService,
    private readonly key: string,
  ) {}

  /**
   * Creates an HTTP server that does not listen: connections are passed to it
   * by its `connection` event.
   */
  static create(
    runtime: MemberRuntime,
    timer: TimerService,
    key: string,
  ): Server {
    const api = new MemberApiServer(runtime, timer, key);
    return createServer((incoming, response) => {
      void api.serve(incoming, response);
    });
  }

  private async serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const reply = await this.handleRequest(incoming).catch(() => BAD_REQUEST);
    response.writeHead(reply.code, {'content-type': 'application/json'});
    response.end(JSON.stringify(reply.body));
  }

  private async handleRequest(incoming: IncomingMessage): Promise<ApiResponse> {
    if (incoming.headers.authorization !== `Bearer ${this.key}`) {
      return {code: HTTP_UNAUTHORIZED, body: {error: 'wrong key'}};
    }
    const url = new URL(incoming.url ?? '/', 'http://member');
    const body = incoming.method === 'POST' ? await readJson(incoming) : {};
    switch (url.pathname) {
      case '/v1/status':
        return ok(await this.pollStatus(url.searchParams));
      case '/v1/fence':
        return this.toResponse(this.runtime.fence(termSchema.parse(body).term));
      case '/v1/promote':
        return this.toResponse(
          this.runtime.promote(termSchema.parse(body).term),
        );
      case '/v1/follow':
        return this.follow(body);
      case '/v1/log/common':
        return this.findCommonBoundary(body);
      case '/v1/log/records':
        return this.listRecords(body);
      default:
        return {code: HTTP_NOT_FOUND, body: {error: 'no such call'}};
    }
  }

  private async pollStatus(query: URLSearchParams): Promise<object> {
    const holdMilliseconds = Number(query.get('hold') ?? 0);
    if (holdMilliseconds > 0) {
      const changed = this.runtime.status.waitUntil(
        status => !matchesQuery(status, query),
      );
      await withTimeout(this.timer, holdMilliseconds, changed);
    }
    return statusToJson(this.runtime.status.current);
  }

  private follow(body: unknown): ApiResponse {
    const {term, primaryApiAddress} = followSchema.parse(body);
    const address = parseAddress(primaryApiAddress).unsafeCoerce();
    return this.toResponse(this.runtime.follow({term, ...address}));
  }

  private findCommonBoundary(body: unknown): ApiResponse {
    const {term, boundaries} = commonSchema.parse(body);
    if (!this.isActivePrimaryIn(term)) return NOT_PRIMARY;
    const {log} = this.runtime.database;
    const shared = boundaries.find(boundary =>
      log.hasBoundary(
        boundary.term,
        parsePosition(boundary.position).unsafeCoerce(),
      ),
    );
    const end = formatPosition(log.end);
    return ok({common: shared?.position ?? null, end});
  }

  private async listRecords(body: unknown): Promise<ApiResponse> {
    const {term, after} = recordsSchema.parse(body);
    const position = parsePosition(after).orDefault(POSITION_ZERO);
    const moreRecords = this.runtime.status.waitUntil(
      status => status.received > position || status.term !== term,
    );
    const outcome = await withTimeout(
      this.timer,
      LOG_LONG_POLL_MILLISECONDS,
      moreRecords,
    );
    if (!this.isActivePrimaryIn(term)) return NOT_PRIMARY;
    if (outcome === TIMED_OUT) return ok({records: []});
    const {log} = this.runtime.database;
    const records = log
      .recordsAfter(position, MAXIMUM_RECORDS_PER_RESPONSE)
      .map(recordToJson);
    return ok({records});
  }

  private isActivePrimaryIn(term: number): boolean {
    return this.runtime.isActivePrimary && this.runtime.term === term;
  }

  private toResponse(succeeded: boolean): ApiResponse {
    const body = statusToJson(this.runtime.status.current);
    return succeeded ? ok(body) : {code: HTTP_CONFLICT, body};
  }
}

const BAD_REQUEST: ApiResponse = {
  code: HTTP_BAD_REQUEST,
  body: {error: 'malformed request'},
};

const NOT_PRIMARY: ApiResponse = {
  code: HTTP_CONFLICT,
  body: {error: 'not the primary of this term'},
};

function ok(body: unknown): ApiResponse {
  return {code: HTTP_OK, body};
}

function matchesQuery(status: MemberStatus, query: URLSearchParams): boolean {
  return (
    query.get('fencedTerm') === String(status.fencedTerm) &&
    query.get('term') === String(status.term) &&
    query.get('role') === status.role &&
    query.get('received') === formatPosition(status.received) &&
    query.get('applied') === formatPosition(status.applied)
  );
}

/**
 * Reads a request body as JSON; an empty body counts as `{}`. Rejects if the
 * body is too large or is not JSON.
 */
export async function readJson(incoming: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of incoming) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAXIMUM_BODY_BYTES) throw new Error('request body too large');
    chunks.push(chunk as Buffer);
  }
  return bytes === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString('utf8'));
}
