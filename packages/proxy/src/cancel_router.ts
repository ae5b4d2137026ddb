import {createHash} from 'node:crypto';
import {Either} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {PeerCall, PeerNetwork} from '@apricotlock/peer';
import {VirtualMachine} from '@apricotlock/topology';
import {CancelRequest} from '@apricotlock/wire';

/**
 * A process id consists of a hash of the entry VM name in the upper bits and a
 * counter in the lower ones. Together they fit into a positive 32-bit integer.
 */
const COUNT_BITS = 19;
const COUNT_LIMIT = 2 ** COUNT_BITS;
const HASH_LIMIT = 2 ** 12;
const CANCEL_TIMEOUT_MILLISECONDS = 1_000;

/**
 * Requests another entry VM to cancel the running statement of a session;
 * returns whether it has that session.
 */
const CANCEL = PeerCall.define<CancelRequest, boolean>(
  'proxy.cancel',
  candidate => (isCancelRequest(candidate) ? candidate : undefined),
  candidate => (typeof candidate === 'boolean' ? candidate : undefined),
);

/** Dependencies of {@link CancelRouter}. */
export interface CancelRouterOptions {
  /** Name of this entry VM. */
  readonly self: string;
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly network: PeerNetwork;
}

/**
 * Forwards cancel requests to the entry VM that has the session. The load
 * balancer may send a cancel request to any entry VM; the process id in the
 * request identifies the right one.
 */
export class CancelRouter {
  private cancelLocally: (request: CancelRequest) => boolean = () => false;
  private lastCount = 0;

  private constructor(private readonly options: CancelRouterOptions) {}

  /** Starts to accept cancel requests of other entry VMs. */
  static start(options: CancelRouterOptions): CancelRouter {
    const router = new CancelRouter(options);
    options.network.handle(CANCEL, async request =>
      Either.of(router.cancelLocally(request)),
    );
    return router;
  }

  /**
   * Sets the function that cancels the statement of a local session; it returns
   * `false` if this entry VM has no such session.
   */
  setLocalCancel(cancelLocally: (request: CancelRequest) => boolean): void {
    this.cancelLocally = cancelLocally;
  }

  /** Returns a process id for a new session of this entry VM. */
  allocateProcessId(): number {
    this.lastCount = (this.lastCount + 1) % COUNT_LIMIT;
    return hashName(this.options.self) * COUNT_LIMIT + this.lastCount;
  }

  /** Cancels the session locally or forwards the request to its entry VM. */
  async cancel(request: CancelRequest): Promise<void> {
    if (this.cancelLocally(request)) return;
    const {self, machines, network} = this.options;
    const hash = Math.floor(request.processId / COUNT_LIMIT);
    // Several VM names may have the same hash; only one VM knows the secret.
    const candidates = machines.current.filter(
      ({name}) => name !== self && hashName(name) === hash,
    );
    await Promise.all(
      candidates.map(({peerAddress}) =>
        network.call(peerAddress, CANCEL, request, CANCEL_TIMEOUT_MILLISECONDS),
      ),
    );
  }
}

function hashName(machine: string): number {
  const digest = createHash('sha256').update(machine).digest();
  return digest.readUInt32BE(0) % HASH_LIMIT;
}

function isCancelRequest(candidate: unknown): candidate is CancelRequest {
  if (typeof candidate !== 'object' || candidate === null) return false;
  const {processId, secret} = candidate as Readonly<Record<string, unknown>>;
  return Number.isInteger(processId) && Number.isInteger(secret);
}
