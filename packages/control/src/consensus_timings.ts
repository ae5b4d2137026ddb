/** Intervals and timeouts of the consensus between control VMs. */
export interface ConsensusTimings {
  /**
   * Interval at which the leader sends heartbeats and checks its quorum, and
   * after which failed replication is retried.
   */
  readonly heartbeatIntervalMilliseconds: number;
  /**
   * Minimum election timeout. Within this time after a leader's message, a
   * voter grants no vote to other candidates.
   */
  readonly electionMinimumMilliseconds: number;
  /**
   * Maximum election timeout. A leader that had no contact with a quorum for
   * this long steps down.
   */
  readonly electionMaximumMilliseconds: number;
  /** Timeout of each call between control VMs. */
  readonly callTimeoutMilliseconds: number;
  /** Time for which a proposal is retried, and the timeout of its commit. */
  readonly proposalTimeoutMilliseconds: number;
  /** A voter that did not answer for this long is replaced. */
  readonly replaceMilliseconds: number;
  /** Interval at which the leader checks for lost voters. */
  readonly repairIntervalMilliseconds: number;
}

/**
 * The shortest `electionMinimumMilliseconds` of any deployment. A leader that a
 * quorum followed within this time cannot have been replaced by an election.
 */
export const SHORTEST_ELECTION_MILLISECONDS = 250;

/** Default timings, for network latencies of a few milliseconds between VMs. */
export const CONSENSUS_TIMINGS: ConsensusTimings = {
  heartbeatIntervalMilliseconds: 100,
  electionMinimumMilliseconds: 350,
  electionMaximumMilliseconds: 700,
  callTimeoutMilliseconds: 1_000,
  proposalTimeoutMilliseconds: 3_000,
  replaceMilliseconds: 60_000,
  repairIntervalMilliseconds: 500,
};
