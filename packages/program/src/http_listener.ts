import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {TimerService} from '@apricotlock/timer';
import {Address} from '@apricotlock/topology';

const HEADERS_TIMEOUT_MILLISECONDS = 5_000;
const REQUEST_TIMEOUT_MILLISECONDS = 15_000;
const MAXIMUM_CONNECTIONS = 1_000;
/** How long the request of a newly accepted connection may be on its way. */
const FIRST_REQUEST_MILLISECONDS = 200;
/** Time to send the refusals of the calls that were not answered in time. */
const REFUSAL_MILLISECONDS = 100;

const STOPPING_RESPONSE: HttpResponse = {
  status: 503,
  body: '{"error":"this VM is stopping"}',
};

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
  private closing = false;
  private readonly sockets = new Set<Socket>();
  private readonly unanswered = new Set<ServerResponse>();

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
    server.on('connection', (socket: Socket) => {
      listener.sockets.add(socket);
      socket.once('close', () => listener.sockets.delete(socket));
    });
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
   * Makes each response from now on the last one of its connection, so that
   * callers look for another VM before `close` ends the idle connections.
   */
  announceClose(): void {
    this.closing = true;
  }

  /**
   * Stops accepting connections, ends the idle ones, and resolves once all
   * requests that were read have a response. Requests that have none after the
   * timeout are refused with status 503; returns how many.
   */
  async close(
    timer: TimerService,
    timeoutMilliseconds: number,
  ): Promise<number> {
    this.closing = true;
    const closed = new Promise<void>(resolve => {
      this.server.close(() => resolve());
    });
    timer.once(FIRST_REQUEST_MILLISECONDS, () => this.endSilentConnections());
    const timeout = Math.max(0, timeoutMilliseconds);
    if ((await withTimeout(timer, timeout, closed)) !== TIMED_OUT) return 0;
    const refused = [...this.unanswered].filter(
      ({headersSent}) => !headersSent,
    );
    for (const response of refused) this.send(response, STOPPING_RESPONSE);
    await withTimeout(timer, REFUSAL_MILLISECONDS, closed);
    this.server.closeAllConnections();
    return refused.length;
  }

  /** Ends the connections on which nothing has arrived. */
  private endSilentConnections(): void {
    for (const socket of this.sockets) {
      if (socket.bytesRead === 0) socket.destroy();
    }
  }

  private async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {handler, logger, maximumBodyBytes} = this.options;
    this.unanswered.add(response);
    response.once('close', () => this.unanswered.delete(response));
    request.on('error', () => response.destroy());
    response.on('error', () => response.destroy());
    const body = await readBody(request, maximumBodyBytes);
    if (body === undefined) {
      this.send(response, {
        status: 413,
        body: '{"error":"the body is too large"}',
      });
      return;
    }
    const {method = '', url = ''} = request;
    const path = url.split('?')[0] ?? '';
    try {
      this.send(response, await handler({method, path, body}));
    } catch (failure) {
      logger.error('HTTP request handler failed', {
        method,
        path,
        failure: String(failure),
      });
      this.send(response, {status: 500, body: '{"error":"internal error"}'});
    }
  }

  private send(response: ServerResponse, content: HttpResponse): void {
    const {status, body, contentType = 'application/json'} = content;
    if (response.headersSent || response.destroyed) return;
    response.writeHead(status, {
      'content-type': contentType,
      'content-length': Buffer.byteLength(body),
      ...(this.closing ? {connection: 'close'} : {}),
    });
    response.end(body);
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
