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

/** Calls the member API over HTTP with JSON bodies. */
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

  /** Creates a client that authenticates each call with the result of `key`. */
  static create(key: () => string, timer: TimerService): HttpMemberClient {
    return new HttpMemberClient(key, timer);
  }

  override fetchStatus(
    member: Address,
    statusRequest: StatusRequest,
  ): Promise<Either<MemberError, MemberStatus>> {
    return this.send(member, {
      method: 'GET',
      path: `/v1/status?${statusQuery(statusRequest)}`,
      timeoutMilliseconds: statusRequest.timeoutMilliseconds,
      freshConnection: statusRequest.freshConnection === true,
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
    // Failovers wait for commands, so none may use an unresponsive connection.
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

function statusQuery(statusRequest: StatusRequest): string {
  const query = new URLSearchParams();
  const {knownStatus} = statusRequest;
  if (knownStatus !== undefined) {
    query.set('hold', String(statusRequest.holdMilliseconds));
    query.set('fencedTerm', String(knownStatus.fencedTerm));
    query.set('term', String(knownStatus.term));
    query.set('role', knownStatus.role);
    query.set('received', formatPosition(knownStatus.received));
    query.set('applied', formatPosition(knownStatus.applied));
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
        finish(parseAnswer(response.statusCode ?? 0, text));
      });
      response.on('error', () => finish(Left({kind: 'connectionRefused'})));
    });
    const cancelTimeout = timer.once(call.timeoutMilliseconds, () => {
      finish(Left({kind: 'timedOut'}));
      outgoing.destroy();
    });
    const finish = (result: Either<MemberError, MemberStatus>) => {
      cancelTimeout();
      resolve(result);
    };
    outgoing.on('error', () => finish(Left({kind: 'connectionRefused'})));
    outgoing.end(call.body);
  });
}

function parseAnswer(
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
