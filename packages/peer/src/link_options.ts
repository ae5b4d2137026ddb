import {Observable} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {KeyRing} from './key_ring.js';
import {TlsIdentity} from './tls_identity.js';

/** Options of links between processes. */
export interface LinkOptions {
  readonly timer: TimerService;
  /** The shared key, or a key ring that supports rotation. */
  readonly key: string | Observable<KeyRing>;
  /** If missing, links are unencrypted. Only for tests on one machine. */
  readonly tls?: Observable<TlsIdentity | undefined>;
  readonly maximumMessageBytes: number;
}
