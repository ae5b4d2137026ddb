import {Observable} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {SecretRing} from './secret_ring.js';
import {TlsIdentity} from './tls_identity.js';

/** How links are made. */
export interface LinkOptions {
  readonly timer: TimerService;
  /** The keys that prove a peer, or the only one if it never changes. */
  readonly key: string | Observable<SecretRing>;
  /** Without it links are in the clear: for tests on one machine. */
  readonly tls?: Observable<TlsIdentity | undefined>;
  readonly maximumMessageBytes: number;
}
