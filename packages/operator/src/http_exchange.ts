import {IncomingMessage, request as requestInClear} from 'node:http';
import {request as requestOverTls} from 'node:https';
import {Address} from '@apricotlock/topology';

const REQUEST_TIMEOUT_MILLISECONDS = 15_000;

/** One request of the operators' API. */
export interface HttpExchange {
  readonly address: Address;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | undefined;
  /** Who signs the API's certificate, as PEM text; without it no TLS. */
  readonly authority: string | undefined;
}

/** What came back. */
export interface HttpAnswer {
  readonly status: number;
  readonly text: string;
}

/** Sends a request and reads the whole answer; rejects if there is none. */
export async function exchangeHttp(
  exchange: HttpExchange,
): Promise<HttpAnswer> {
  const response = await send(exchange);
  const chunks: Buffer[] = [];
  for await (const chunk of response) chunks.push(chunk as Buffer);
  return {
    status: response.statusCode ?? 0,
    text: Buffer.concat(chunks).toString('utf8'),
  };
}

function send(exchange: HttpExchange): Promise<IncomingMessage> {
  const {address, method, path, headers, body, authority} = exchange;
  const options = {
    ...address,
    method,
    path,
    headers: {...headers, 'content-length': Buffer.byteLength(body ?? '')},
    signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS),
  };
  return new Promise((resolve, reject) => {
    const outgoing =
      authority === undefined
        ? requestInClear(options, resolve)
        : requestOverTls({...options, ca: authority}, resolve);
    outgoing.on('error', reject);
    outgoing.end(body);
  });
}
