import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {Logger} from '@apricotlock/logging';
import {Address} from '@apricotlock/topology';

const HEADERS_TIMEOUT_MILLISECONDS = 5_000;
const REQUEST_TIMEOUT_MILLISECONDS = 15_000;
const MAXIMUM_CONNECTIONS = 1_000;

/** A completely received HTTP request. */
export interface HttpRequest {
  readonly method: string;
  /** The path without the query string. */
  readonly path: string;
  readonly body: string;
}

/** The response to one request. */
export interface HttpResponse {
  readonly status: number;
  readonly body: string;
  /** The media type of the body; `application/json` by default. */
  readonly contentType?: string;
}

/** Handles one request; if it rejects, the response has status 500. */
export type HttpHandler = (request: HttpRequest) => Promise<HttpResponse>;

/** Options of an HTTP listener. */
export interface HttpListenerOptions {
  readonly address: Address;
  /** Requests with a larger body are refused with status 413. */
  readonly maximumBodyBytes: number;
  readonly handler: HttpHandler;
  readonly logger: Logger;
}

/** An HTTP server that reads each request completely before handling it. */
export class HttpListener {
  private constructor(
    private readonly server: Server,
    private readonly options: HttpListenerOptions,
  ) {}

  /** Starts listening. Throws if the address cannot be bound. */
  static async start(options: HttpListenerOptions): Promise<HttpListener> {
    const server = createServer({
      headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
    });
    server.maxConnections = MAXIMUM_CONNECTIONS;
    const listener = new HttpListener(server, options);
    server.on('request', (request, response) => {
      void listener.handleRequest(request, response);
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(options.address, resolve);
    });
    return listener;
  }

  /**
   * Stops accepting connections, and resolves once the open connections have
   * ended.
   */
  async close(): Promise<void> {
    const closed = new Promise<void>(resolve => {
      this.server.close(() => resolve());
    });
    this.server.closeIdleConnections();
    await closed;
  }

  private async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {handler, logger, maximumBodyBytes} = this.options;
    request.on('error', () => response.destroy());
    response.on('error', () => response.destroy());
    const body = await readBody(request, maximumBodyBytes);
    if (body === undefined) {
      send(response, {status: 413, body: '{"error":"the body is too large"}'});
      return;
    }
    const {method = '', url = ''} = request;
    const path = url.split('?')[0] ?? '';
    try {
      send(response, await handler({method, path, body}));
    } catch (failure) {
      logger.error('HTTP request handler failed', {
        method,
        path,
        failure: String(failure),
      });
      send(response, {status: 500, body: '{"error":"internal error"}'});
    }
  }
}

async function readBody(
  request: IncomingMessage,
  maximumBytes: number,
): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > maximumBytes) return undefined;
      chunks.push(chunk);
    }
  } catch {
    // The connection was lost, so the response cannot be delivered.
    return undefined;
  }
  return Buffer.concat(chunks).toString('utf8');
}

function send(response: ServerResponse, content: HttpResponse): void {
  const {status, body, contentType = 'application/json'} = content;
  if (response.headersSent || response.destroyed) return;
  response.writeHead(status, {
    'content-type': contentType,
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}
