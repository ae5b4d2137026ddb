import {IncomingMessage, request as requestOverHttp} from 'node:http';
import {request as requestOverHttps} from 'node:https';
import {Address} from '@apricotlock/topology';

const REQUEST_TIMEOUT_MILLISECONDS = 15_000;

/** A request to the operators' API. */
export interface HttpExchange {
  readonly address: Address;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | undefined;
  /** The CA certificate of the API as PEM text; without it, TLS is not used. */
  readonly authority: string | undefined;
}

/** The status and body of a response. */
export interface HttpAnswer {
  readonly status: number;
  readonly text: string;
}

/**
 * Sends a request and resolves to the complete response. Rejects if the
 * connection fails or the response is not complete within 15 seconds.
 */
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
        ? requestOverHttp(options, resolve)
        : requestOverHttps({...options, ca: authority}, resolve);
    outgoing.on('error', reject);
    outgoing.end(body);
  });
}
