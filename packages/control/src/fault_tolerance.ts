import {MAXIMUM_VOTERS} from './control_configuration.js';

/** The losses that the control log must survive when they come at once. */
export interface FaultTolerance {
  /** The number of disks that may be lost together with all their data. */
  readonly disks: number;
  /** The number of data centres that may be unreachable. */
  readonly dataCentres: number;
}

/**
 * Returns how many voters keep a quorum after the losses. A data centre counts
 * as one voter, since {@link nextVoterStep} spreads voters over data centres.
 * At least three voters are needed, so that one may restart.
 */
export function requiredVoterCount({
  disks,
  dataCentres,
}: FaultTolerance): number {
  const losses = Math.max(disks, dataCentres, 1);
  return Math.min(2 * losses + 1, MAXIMUM_VOTERS);
}

/**
 * Returns how many voters one data centre may have, so that the loss of as many
 * data centres as tolerated leaves a quorum of `voterCount` voters.
 */
export function maximumVotersPerDataCentre(
  voterCount: number,
  {dataCentres}: FaultTolerance,
): number {
  const tolerableLosses = Math.floor((voterCount - 1) / 2);
  return Math.max(1, Math.floor(tolerableLosses / Math.max(dataCentres, 1)));
}
