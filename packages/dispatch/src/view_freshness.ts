/** What a VM knows about the age of its view, and how it gets a newer one. */
export abstract class ViewFreshness {
  /**
   * Whether a quorum has confirmed a view of this process. Before that, the view
   * may be older than one that was in force here before a restart.
   */
  abstract get isConfirmed(): boolean;

  /**
   * Resolves once a view is active that has all changes acknowledged before this
   * call, or the time is over.
   */
  abstract refresh(timeoutMilliseconds: number): Promise<void>;
}
