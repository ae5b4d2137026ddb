import {Observable} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {
  Catalogue,
  ClusterView,
  findEntry,
  Organisation,
} from '@apricotlock/topology';
import {
  CallerIdentity,
  identifiesCallers,
  identifyCaller,
  organisationsByDigest,
} from './caller_identity.js';
import {ViewFreshness} from './view_freshness.js';

/** The longest wait for a newer view before a key is refused as unknown. */
const REFRESH_MILLISECONDS = 500;
/**
 * An operation waits for a refresh of an older view. Views are usually
 * confirmed several times a second, but requests that arrived while this VM was
 * suspended would otherwise be served by the view from before the suspension.
 */
const STALE_MILLISECONDS = 2_000;
/**
 * How long an open transaction may continue after this VM has learned that its
 * caller's key was revoked. Views reach all VMs within 3 s, and no member may
 * run statements for a revoked key later than 4 s after the acknowledgement.
 */
const TRANSACTION_GRACE_MILLISECONDS = 1_000;

/** Dependencies of the authenticator. */
export interface AuthenticatorOptions {
  readonly view: Observable<ClusterView>;
  readonly timer: TimerService;
  /** If omitted, the view is regarded as the newest one. */
  readonly freshness?: ViewFreshness | undefined;
}

/** What a caller presented when its session started. */
export interface PresentedCredential {
  readonly database: string;
  /** The digest of the caller's key; `undefined` if it has none. */
  readonly digest: string | undefined;
}

/**
 * The identity of a caller, or `unconfirmed` if the view of this VM may be
 * older than one in which the key was revoked.
 */
export type Authentication = CallerIdentity | {readonly kind: 'unconfirmed'};

/** Identifies the callers of one VM by the newest view. */
export class Authenticator {
  private catalogue: Catalogue;
  /**
   * When this VM learned that keys were revoked, or passed to another
   * organisation; old ones are dropped.
   */
  private revokedAt: ReadonlyMap<string, number> = new Map();

  /**
   * The refresh of a stale view, kept until the view is current: if control
   * cannot be reached, the last confirmed view stays in use without further
   * waits.
   */
  private staleRefresh: Promise<void> | undefined;

  private constructor(private readonly options: AuthenticatorOptions) {
    this.catalogue = options.view.current.catalogue;
    options.view.subscribe(({catalogue}) => this.recordRevoked(catalogue));
  }

  /** Creates the authenticator of a VM. */
  static create(options: AuthenticatorOptions): Authenticator {
    return new Authenticator(options);
  }

  /**
   * Identifies the caller of an operation or session that is about to start. If
   * its key is unknown, a newer view is fetched first.
   */
  async authenticate(credential: PresentedCredential): Promise<Authentication> {
    const identity = this.identify(credential);
    if (identity.kind === 'anonymous') return identity;
    if (identity.kind === 'unauthenticated' || this.age === Infinity) {
      await this.options.freshness?.refresh(REFRESH_MILLISECONDS);
    } else {
      await this.refreshStaleView(credential);
    }
    const newest = this.identify(credential);
    if (newest.kind === 'anonymous' || this.age < Infinity) return newest;
    return {kind: 'unconfirmed'};
  }

  /** Waits for a newer view if the caller's identity rests on a stale one. */
  async refreshStaleView(credential: PresentedCredential): Promise<void> {
    const {freshness} = this.options;
    if (this.age <= STALE_MILLISECONDS) {
      this.staleRefresh = undefined;
      return;
    }
    if (this.identify(credential).kind === 'anonymous') return;
    this.staleRefresh ??= freshness?.refresh(REFRESH_MILLISECONDS);
    await this.staleRefresh;
    if (this.age <= STALE_MILLISECONDS) this.staleRefresh = undefined;
  }

  /**
   * Returns whether an operation that was started for an organisation, or for
   * none, may send another statement to a member.
   */
  isPermitted(
    credential: PresentedCredential,
    organisation: string | undefined,
  ): boolean {
    const identity = this.identify(credential);
    if (identity.kind !== 'unauthenticated') {
      if (organisation === undefined) return true;
      if (!identifiesCallers(this.catalogue)) return true;
      // Without a valid key, an entry that requires none serves the caller, but
      // no longer in the name of the organisation.
      const current =
        identity.kind === 'organisation' ? identity.organisation.name : '';
      if (current === organisation) return true;
    }
    const revokedAt = this.revokedAt.get(credential.digest ?? '') ?? -Infinity;
    const elapsed = this.options.timer.now() - revokedAt;
    return elapsed < TRANSACTION_GRACE_MILLISECONDS;
  }

  private get age(): number {
    return this.options.freshness?.ageMilliseconds ?? 0;
  }

  private identify({database, digest}: PresentedCredential): CallerIdentity {
    const {catalogue} = this.options.view.current;
    return identifyCaller(catalogue, findEntry(catalogue, database), digest);
  }

  private recordRevoked(catalogue: Catalogue): void {
    const before = this.catalogue;
    this.catalogue = catalogue;
    if (before.organisations === catalogue.organisations) return;
    const now = this.options.timer.now();
    const current = organisationsByDigest(catalogue);
    const isRevoked = ([digest, {name}]: readonly [string, Organisation]) =>
      current.get(digest)?.name !== name;
    const recent = [...this.revokedAt].filter(
      ([, at]) => now - at < TRANSACTION_GRACE_MILLISECONDS,
    );
    const revoked = [...organisationsByDigest(before)]
      .filter(isRevoked)
      .map(([digest]) => [digest, now] as const);
    this.revokedAt = new Map([...recent, ...revoked]);
  }
}
