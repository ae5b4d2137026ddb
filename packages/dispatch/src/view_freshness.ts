/** What a VM knows about the age of its view, and how it gets a newer one. */
export abstract class ViewFreshness {
  /**
   * Time since a quorum is known to have confirmed the view; `Infinity` if none
   * has confirmed a view of this process. In that case, the view may be older
   * than one that was in force here before a restart.
   */
  abstract get ageMilliseconds(): number;

  /**
   * Resolves once a view is active that has all changes acknowledged before
   * this call, or the time is over.
   */
  abstract refresh(timeoutMilliseconds: number): Promise<void>;
}
