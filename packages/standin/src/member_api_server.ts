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
const LOG_HOLD_MILLISECONDS = 500;
const RECORDS_AN_ANSWER = 1_000;
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

interface ApiAnswer {
  readonly code: number;
  readonly body: unknown;
}

/** Serves the member API, and the log to the replicas. */
export class MemberApiServer {
  private constructor(
    private readonly runtime: MemberRuntime,
    private readonly timer: TimerService,
    private readonly key: string,
  ) {}

  /** An HTTP server that is given its connections by somebody else. */
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
    const answer = await this.answer(incoming).catch(() => BAD_REQUEST);
    response.writeHead(answer.code, {'content-type': 'application/json'});
    response.end(JSON.stringify(answer.body));
  }

  private async answer(incoming: IncomingMessage): Promise<ApiAnswer> {
    if (incoming.headers.authorization !== `Bearer ${this.key}`) {
      return {code: HTTP_UNAUTHORIZED, body: {error: 'wrong key'}};
    }
    const url = new URL(incoming.url ?? '/', 'http://member');
    const body = incoming.method === 'POST' ? await readJson(incoming) : {};
    switch (url.pathname) {
      case '/v1/status':
        return ok(await this.heldStatus(url.searchParams));
      case '/v1/fence':
        return this.outcome(this.runtime.fence(termSchema.parse(body).term));
      case '/v1/promote':
        return this.outcome(this.runtime.promote(termSchema.parse(body).term));
      case '/v1/follow':
        return this.follow(body);
      case '/v1/log/common':
        return this.common(body);
      case '/v1/log/records':
        return this.records(body);
      default:
        return {code: HTTP_NOT_FOUND, body: {error: 'no such call'}};
    }
  }

  private async heldStatus(query: URLSearchParams): Promise<object> {
    const hold = Number(query.get('hold') ?? 0);
    if (hold > 0) {
      const changed = this.runtime.status.waitUntil(
        status => !sameAsQuery(status, query),
      );
      await withTimeout(this.timer, hold, changed);
    }
    return statusToJson(this.runtime.status.current);
  }

  private follow(body: unknown): ApiAnswer {
    const {term, primaryApiAddress} = followSchema.parse(body);
    const address = parseAddress(primaryApiAddress).unsafeCoerce();
    return this.outcome(this.runtime.follow({term, ...address}));
  }

  private common(body: unknown): ApiAnswer {
    const {term, boundaries} = commonSchema.parse(body);
    if (!this.leadsIn(term)) return NOT_LEADING;
    const {log} = this.runtime.database;
    const shared = boundaries.find(boundary =>
      log.holds(boundary.term, parsePosition(boundary.position).unsafeCoerce()),
    );
    const end = formatPosition(log.end);
    return ok({common: shared?.position ?? null, end});
  }

  private async records(body: unknown): Promise<ApiAnswer> {
    const {term, after} = recordsSchema.parse(body);
    const position = parsePosition(after).orDefault(POSITION_ZERO);
    const more = this.runtime.status.waitUntil(
      status => status.received > position || status.term !== term,
    );
    const outcome = await withTimeout(this.timer, LOG_HOLD_MILLISECONDS, more);
    if (!this.leadsIn(term)) return NOT_LEADING;
    if (outcome === TIMED_OUT) return ok({records: []});
    const {log} = this.runtime.database;
    const records = log.after(position, RECORDS_AN_ANSWER).map(recordToJson);
    return ok({records});
  }

  private leadsIn(term: number): boolean {
    return this.runtime.leads && this.runtime.term === term;
  }

  private outcome(done: boolean): ApiAnswer {
    const body = statusToJson(this.runtime.status.current);
    return done ? ok(body) : {code: HTTP_CONFLICT, body};
  }
}

const BAD_REQUEST: ApiAnswer = {
  code: HTTP_BAD_REQUEST,
  body: {error: 'malformed request'},
};

const NOT_LEADING: ApiAnswer = {
  code: HTTP_CONFLICT,
  body: {error: 'not the primary of this term'},
};

function ok(body: unknown): ApiAnswer {
  return {code: HTTP_OK, body};
}

function sameAsQuery(status: MemberStatus, query: URLSearchParams): boolean {
  return (
    query.get('fencedTerm') === String(status.fencedTerm) &&
    query.get('term') === String(status.term) &&
    query.get('role') === status.role &&
    query.get('received') === formatPosition(status.received) &&
    query.get('applied') === formatPosition(status.applied)
  );
}

/** Reads a bounded body as JSON. */
export async function readJson(incoming: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of incoming) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAXIMUM_BODY_BYTES) throw new Error('the body is too long');
    chunks.push(chunk as Buffer);
  }
  return bytes === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString('utf8'));
}
