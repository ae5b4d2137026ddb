import {Agent, request, RequestOptions} from 'node:http';
import {Either, Left, Right} from 'purify-ts';
import {formatPosition} from '@apricotlock/session';
import {TimerService} from '@apricotlock/timer';
import {Address, formatAddress} from '@apricotlock/topology';
import {
  MemberClient,
  MemberError,
  ReplicationSource,
  StatusRequest,
} from './member_client.js';
import {MemberStatus, readStatus} from './member_status.js';

const MAXIMUM_ANSWER_BYTES = 64 << 10;
const MAXIMUM_IDLE_SOCKETS = 4;
const HTTP_OK = 200;

/** The member API over HTTP with JSON. */
export class HttpMemberClient extends MemberClient {
  private readonly agent = new Agent({
    keepAlive: true,
    maxFreeSockets: MAXIMUM_IDLE_SOCKETS,
  });

  private constructor(
    private readonly key: () => string,
    private readonly timer: TimerService,
  ) {
    super();
  }

  /** A client that proves itself with what `key` gives at each call. */
  static create(key: () => string, timer: TimerService): HttpMemberClient {
    return new HttpMemberClient(key, timer);
  }

  override status(
    member: Address,
    wanted: StatusRequest,
  ): Promise<Either<MemberError, MemberStatus>> {
    return this.send(member, {
      method: 'GET',
      path: `/v1/status?${statusQuery(wanted)}`,
      timeoutMilliseconds: wanted.timeoutMilliseconds,
      freshConnection: wanted.freshConnection === true,
    });
  }

  override fence(
    member: Address,
    term: number,
    timeoutMilliseconds: number,
  ): Promise<Either<MemberError, MemberStatus>> {
    return this.post(member, '/v1/fence', {term}, timeoutMilliseconds);
  }

  override promote(
    member: Address,
    term: number,
    timeoutMilliseconds: number,
  ): Promise<Either<MemberError, MemberStatus>> {
    return this.post(member, '/v1/promote', {term}, timeoutMilliseconds);
  }

  override follow(
    member: Address,
    term: number,
    source: ReplicationSource,
    timeoutMilliseconds: number,
  ): Promise<Either<MemberError, MemberStatus>> {
    const body = {
      term,
      primary: source.name,
      primaryApiAddress: formatAddress(source.apiAddress),
    };
    return this.post(member, '/v1/follow', body, timeoutMilliseconds);
  }

  private post(
    member: Address,
    path: string,
    body: object,
    timeoutMilliseconds: number,
  ): Promise<Either<MemberError, MemberStatus>> {
    // Commands decide failovers, so they never wait on a silent connection.
    return this.send(member, {
      method: 'POST',
      path,
      body: JSON.stringify(body),
      timeoutMilliseconds,
      freshConnection: true,
    });
  }

  private send(
    member: Address,
    call: MemberCall,
  ): Promise<Either<MemberError, MemberStatus>> {
    return sendCall(this.optionsFor(member, call), call, this.timer);
  }

  private optionsFor(member: Address, call: MemberCall): RequestOptions {
    return {
      host: member.host,
      port: member.port,
      method: call.method,
      path: call.path,
      agent: call.freshConnection ? false : this.agent,
      headers: {
        authorization: `Bearer ${this.key()}`,
        'content-type': 'application/json',
      },
    };
  }
}

interface MemberCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
  readonly timeoutMilliseconds: number;
  readonly freshConnection: boolean;
}

function statusQuery(wanted: StatusRequest): string {
  const query = new URLSearchParams();
  const {unlike} = wanted;
  if (unlike !== undefined) {
    query.set('hold', String(wanted.holdMilliseconds));
    query.set('fencedTerm', String(unlike.fencedTerm));
    query.set('term', String(unlike.term));
    query.set('role', unlike.role);
    query.set('received', formatPosition(unlike.received));
    query.set('applied', formatPosition(unlike.applied));
  }
  return query.toString();
}

function sendCall(
  options: RequestOptions,
  call: MemberCall,
  timer: TimerService,
): Promise<Either<MemberError, MemberStatus>> {
  return new Promise(resolve => {
    const outgoing = request(options, response => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      response.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > MAXIMUM_ANSWER_BYTES) response.destroy();
        else chunks.push(chunk);
      });
      response.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        finish(readAnswer(response.statusCode ?? 0, text));
      });
      response.on('error', () => finish(Left({kind: 'connectionRefused'})));
    });
    const stopAlarm = timer.once(call.timeoutMilliseconds, () => {
      finish(Left({kind: 'timedOut'}));
      outgoing.destroy();
    });
    const finish = (result: Either<MemberError, MemberStatus>) => {
      stopAlarm();
      resolve(result);
    };
    outgoing.on('error', () => finish(Left({kind: 'connectionRefused'})));
    outgoing.end(call.body);
  });
}

function readAnswer(
  statusCode: number,
  text: string,
): Either<MemberError, MemberStatus> {
  if (statusCode !== HTTP_OK) return Left({kind: 'refused', reason: text});
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch {
    return Left({kind: 'malformedAnswer'});
  }
  const status = readStatus(json);
  return status === undefined ? Left({kind: 'malformedAnswer'}) : Right(status);
}
