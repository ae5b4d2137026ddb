/** What a {@link QuotaClient} has done since its start. */
export interface QuotaCounts {
  /** Operations of organisations with a quota that were granted. */
  readonly granted: number;
  /** Operations that were refused. */
  readonly refused: number;
  /**
   * Those granted without a coordinator: by the reserve or at the recent rate.
   */
  readonly reserveUsed: number;
  /** Requests for one organisation each; a message may carry several. */
  readonly requests: number;
  /** Messages to coordinators on other VMs. */
  readonly messages: number;
  /** Requests that no coordinator answered in time. */
  readonly unanswered: number;
}

/** Counts that are changed in place, because each operation changes one. */
export type MutableQuotaCounts = {
  -readonly [Name in keyof QuotaCounts]: number;
};

/** Returns counts of zero. */
export function zeroCounts(): MutableQuotaCounts {
  return {
    granted: 0,
    refused: 0,
    reserveUsed: 0,
    requests: 0,
    messages: 0,
    unanswered: 0,
  };
}
