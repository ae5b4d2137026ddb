import {Either, Left, Right} from 'purify-ts';
import {AuditRange, AuditTrail, ControlReport} from '@apricotlock/control';
import {
  Address,
  Catalogue,
  CatalogueValidationError,
} from '@apricotlock/topology';
import {exchangeHttp} from './http_exchange.js';
import {ChangeReport, ServerReport, StatusReport} from './operator_messages.js';

const HTTP_OK = 200;
const HTTP_REDIRECTION = 300;

/** Why a call of the operators' API failed. */
export type OperatorError =
  | {readonly kind: 'unreachable'; readonly reason: string}
  | {readonly kind: 'unauthorized'}
  | {readonly kind: 'refused'; readonly reason: string}
  | {
      readonly kind: 'faults';
      readonly faults: readonly CatalogueValidationError[];
    }
  | {readonly kind: 'conflict'; readonly version: number};

type Body = Readonly<Record<string, unknown>>;

/** A client of the operators' API of one process. */
export class OperatorClient {
  private constructor(
    private readonly address: Address,
    private readonly token: string,
    private readonly actor: string,
    private readonly authority: string | undefined,
  ) {}

  /**
   * Creates a client of the process at `address`. The client uses TLS if
   * `authority` is given: the CA certificate, as PEM text, that signs the
   * certificate of the process. Changes are recorded in the audit trail under
   * the name `actor`.
   */
  static create(
    address: Address,
    token: string,
    actor: string,
    authority?: string,
  ): OperatorClient {
    return new OperatorClient(address, token, actor, authority);
  }

  status(): Promise<Either<OperatorError, StatusReport>> {
    return this.send<StatusReport>('GET', '/v1/status');
  }

  async servers(): Promise<Either<OperatorError, readonly ServerReport[]>> {
    const answer = await this.send<{servers: readonly ServerReport[]}>(
      'GET',
      '/v1/servers',
    );
    return answer.map(({servers}) => servers);
  }

  catalogue(): Promise<Either<OperatorError, Catalogue>> {
    return this.send<Catalogue>('GET', '/v1/catalogue');
  }

  /**
   * Replaces the catalogue if its version is still `baseVersion`, and fails
   * with a conflict otherwise. With `wait`, the answer names the VMs that have
   * not confirmed the change. Organisations are sent with their keys in clear
   * text, or with digests; without any list of them, they remain as they are.
   */
  putCatalogue(
    changeId: string,
    baseVersion: number,
    entries: readonly unknown[],
    wait: boolean,
    organisations?: readonly unknown[],
  ): Promise<Either<OperatorError, ChangeReport>> {
    const path = wait ? '/v1/catalogue?wait=1' : '/v1/catalogue';
    return this.send('PUT', path, {
      changeId,
      baseVersion,
      entries,
      organisations,
    });
  }

  /** Drains, removes or reactivates a backend server. */
  changeServer(
    name: string,
    action: 'drain' | 'remove' | 'activate',
    changeId: string,
    wait: boolean,
  ): Promise<Either<OperatorError, ChangeReport>> {
    const path = `/v1/servers/${encodeURIComponent(name)}/${action}`;
    return this.send('POST', wait ? `${path}?wait=1` : path, {changeId});
  }

  /** Asks an entry VM to drain and shut down. */
  drainMachine(name: string): Promise<Either<OperatorError, ChangeReport>> {
    return this.send('POST', `/v1/vms/${encodeURIComponent(name)}/drain`, {});
  }

  /** Fetches the records of the audit trail in `range`. */
  audit(range: AuditRange): Promise<Either<OperatorError, AuditTrail>> {
    const {afterIndex, from} = range;
    return this.send('GET', `/v1/audit?since=${afterIndex}&from=${from}`);
  }

  /** Fetches the control leader's report on the replicated log. */
  control(): Promise<Either<OperatorError, ControlReport>> {
    return this.send('GET', '/v1/control');
  }

  private async send<T>(
    method: string,
    path: string,
    body?: Body,
  ): Promise<Either<OperatorError, T>> {
    try {
      const {status, text} = await exchangeHttp({
        address: this.address,
        method,
        path,
        headers: {
          authorization: `Bearer ${this.token}`,
          'x-apricotlock-actor': this.actor,
          ...(body === undefined ? {} : {'content-type': 'application/json'}),
        },
        body: body === undefined ? undefined : JSON.stringify(body),
        authority: this.authority,
      });
      const answer = JSON.parse(text) as Body;
      const succeeded = status >= HTTP_OK && status < HTTP_REDIRECTION;
      return succeeded ? Right(answer as T) : Left(errorOf(status, answer));
    } catch (failure) {
      return Left({kind: 'unreachable', reason: String(failure)});
    }
  }
}

function errorOf(status: number, answer: Body): OperatorError {
  if (status === 401) return {kind: 'unauthorized'};
  if (answer['result'] === 'conflict') {
    return {kind: 'conflict', version: Number(answer['version'])};
  }
  if (Array.isArray(answer['faults'])) {
    return {
      kind: 'faults',
      faults: answer['faults'] as CatalogueValidationError[],
    };
  }
  if (answer['error'] === 'unknown') {
    return {kind: 'unreachable', reason: String(answer['reason'])};
  }
  const reason = String(answer['reason'] ?? answer['error'] ?? status);
  return {kind: 'refused', reason};
}
