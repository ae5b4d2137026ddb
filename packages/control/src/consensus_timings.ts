/** How patient the control VMs are with each other. */
export interface ConsensusTimings {
  readonly heartbeatMilliseconds: number;
  /** Within this after a leader's message nobody else gets a vote. */
  readonly electionMinimumMilliseconds: number;
  /** A leader without a quorum for this long steps down. */
  readonly electionMaximumMilliseconds: number;
  readonly callMilliseconds: number;
  readonly proposeMilliseconds: number;
  /** A voter that is silent for this long is replaced. */
  readonly replaceMilliseconds: number;
  /** How often the leader looks for lost voters. */
  readonly repairMilliseconds: number;
}

/** For VMs some milliseconds apart. */
export const CONSENSUS_TIMINGS: ConsensusTimings = {
  heartbeatMilliseconds: 60,
  electionMinimumMilliseconds: 350,
  electionMaximumMilliseconds: 700,
  callMilliseconds: 1_000,
  proposeMilliseconds: 3_000,
  replaceMilliseconds: 60_000,
  repairMilliseconds: 500,
};
