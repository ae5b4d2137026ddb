import {createHash} from 'node:crypto';
import {Either} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {PeerCall, PeerNetwork} from '@apricotlock/peer';
import {VirtualMachine} from '@apricotlock/topology';
import {CancelRequest} from '@apricotlock/wire';

/** A process id is the hash of its entry VM, and then a count. */
const COUNT_BITS = 19;
const COUNT_LIMIT = 2 ** COUNT_BITS;
const HASH_LIMIT = 2 ** 12;
const CALL_TIMEOUT_MILLISECONDS = 1_000;

/** Asks another entry VM to cancel a statement of one of its sessions. */
const CANCEL = PeerCall.define<CancelRequest, boolean>(
  'proxy.cancel',
  candidate => (isCancelRequest(candidate) ? candidate : undefined),
  candidate => (typeof candidate === 'boolean' ? candidate : undefined),
);

/** What a cancel router needs. */
export interface CancelRouterOptions {
  readonly self: string;
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly network: PeerNetwork;
}

/**
 * Takes cancel requests to the entry VM that has the session. The balancer
 * may give a cancel request to any VM; its process id tells where it belongs.
 */
export class CancelRouter {
  private cancelHere: (request: CancelRequest) => boolean = () => false;
  private nextCount = 0;

  private constructor(private readonly options: CancelRouterOptions) {}

  /** Begins to take requests of other entry VMs. */
  static start(options: CancelRouterOptions): CancelRouter {
    const router = new CancelRouter(options);
    options.network.handle(CANCEL, async request =>
      Either.of(router.cancelHere(request)),
    );
    return router;
  }

  /** Says how a session of this entry VM is cancelled, if it has it. */
  onRequest(cancelHere: (request: CancelRequest) => boolean): void {
    this.cancelHere = cancelHere;
  }

  /** A process id for a new session of this entry VM. */
  nextProcessId(): number {
    this.nextCount = (this.nextCount + 1) % COUNT_LIMIT;
    return hashOf(this.options.self) * COUNT_LIMIT + this.nextCount;
  }

  /** Takes a caller's request to where it belongs. */
  async cancel(request: CancelRequest): Promise<void> {
    if (this.cancelHere(request)) return;
    const {self, machines, network} = this.options;
    const hash = Math.floor(request.processId / COUNT_LIMIT);
    // Names of VMs may share a hash; the secret is right at one only.
    const candidates = machines.current.filter(
      ({name}) => name !== self && hashOf(name) === hash,
    );
    await Promise.all(
      candidates.map(({peerAddress}) =>
        network.call(peerAddress, CANCEL, request, CALL_TIMEOUT_MILLISECONDS),
      ),
    );
  }
}

function hashOf(machine: string): number {
  const digest = createHash('sha256').update(machine).digest();
  return digest.readUInt32BE(0) % HASH_LIMIT;
}

function isCancelRequest(candidate: unknown): candidate is CancelRequest {
  if (typeof candidate !== 'object' || candidate === null) return false;
  const {processId, secret} = candidate as Readonly<Record<string, unknown>>;
  return Number.isInteger(processId) && Number.isInteger(secret);
}
