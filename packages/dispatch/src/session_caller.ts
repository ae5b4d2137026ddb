import {CallerFailure, SessionStart} from '@apricotlock/statement';
import {digestOfKey, Organisation} from '@apricotlock/topology';
import {Authenticator, PresentedCredential} from './authenticator.js';

/** A started VM usually has a confirmed view after this time. */
const UNCONFIRMED_RETRY_MILLISECONDS = 500;

/** Why a caller is not served: its key is invalid, or not certainly valid. */
export type CallerRefusal = Extract<
  CallerFailure,
  {readonly kind: 'unauthenticated' | 'notRun'}
>;

/**
 * The caller of one session. It keeps the digest of the caller's key and not
 * the key, so that none can be shown by mistake.
 */
export class SessionCaller {
  private identified: Organisation | undefined;

  private constructor(
    private readonly credential: PresentedCredential,
    private readonly authenticator: Authenticator,
  ) {}

  /** Creates the caller that started a session. */
  static of(
    {database, credential}: SessionStart,
    authenticator: Authenticator,
  ): SessionCaller {
    const digest =
      credential === undefined ? undefined : digestOfKey(credential);
    return new SessionCaller({database, digest}, authenticator);
  }

  /** The database that the caller requested. */
  get database(): string {
    return this.credential.database;
  }

  /** The organisation for which the caller's last operation was started. */
  get organisation(): Organisation | undefined {
    return this.identified;
  }

  /**
   * Identifies the caller at the start of its session or of an operation.
   * Resolves to the reason if it is not served.
   */
  async identify(): Promise<CallerRefusal | undefined> {
    const identity = await this.authenticator.authenticate(this.credential);
    this.identified =
      identity.kind === 'organisation' ? identity.organisation : undefined;
    if (identity.kind === 'unauthenticated') return identity;
    if (identity.kind !== 'unconfirmed') return undefined;
    return {
      kind: 'notRun',
      reason: 'control has not confirmed the view of this VM yet',
      retryAfterMilliseconds: UNCONFIRMED_RETRY_MILLISECONDS,
    };
  }

  /** Like {@link isPermitted}, after a stale view has been refreshed. */
  async isPermittedAfterRefresh(): Promise<boolean> {
    await this.authenticator.refreshStaleView(this.credential);
    return this.isPermitted();
  }

  /**
   * Returns whether, by the current view, the operation that was started last
   * may send another statement to a member.
   */
  isPermitted(): boolean {
    const {credential, identified} = this;
    return this.authenticator.isPermitted(credential, identified?.name);
  }
}
