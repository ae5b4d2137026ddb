import {LogPosition} from '@apricotlock/statement';
import {DatabaseGroup, Member} from '@apricotlock/topology';
import {MemberEstimates} from './member_estimates.js';
import {MemberOutliers} from './member_outliers.js';
import {AFFINITY_COST_MILLISECONDS, preferredReplica} from './read_affinity.js';

/** Cost of reaching a member in another data centre. */
const REMOTE_DATA_CENTRE_COST_MILLISECONDS = 4;
/** Reads use the primary only if replicas are busier by this wait. */
const PRIMARY_COST_MILLISECONDS = 10;
/** Exceeds all waits: a member that fails or is slow is tried later. */
const EJECTED_COST_MILLISECONDS = 5_000;
/** Exceeds all other costs: a member that failed recently is tried last. */
const AVOIDED_COST_MILLISECONDS = 10_000;

/** The minimum log position that a read requires. */
export interface ReadRequirement {
  /** The position; `undefined` if any is sufficient. */
  readonly floor: LogPosition | undefined;
  /** How long ago the primary had reached the position, in milliseconds. */
  readonly floorAgeMilliseconds: number;
}

/** What else decides on the order of members for a read. */
export interface ReadPreferences {
  /** The members that fail or are slow; none if it is omitted. */
  readonly outliers?: MemberOutliers;
  /** Counts the reads, so that members of equal cost take turns. */
  readonly turn?: number;
  /** The name of the caller's organisation, if it is identified. */
  readonly organisation?: string | undefined;
}

/**
 * Returns the active members in the order in which a read should try them. The
 * member that is expected to be free and up to date first comes first. The
 * costs suit many more reads than writes, replicas that lag at different times,
 * and a primary whose slots are needed for writes: a read waits for a replica
 * to catch up if that takes less time than waiting for the primary. Members of
 * equal cost take turns. Reads of an organisation prefer one replica.
 */
export function readOrder(
  group: DatabaseGroup,
  dataCentre: string,
  requirement: ReadRequirement,
  estimates: MemberEstimates,
  {outliers, turn = 0, organisation}: ReadPreferences = {},
): readonly Member[] {
  const ordered: Member[] = [];
  const costs: number[] = [];
  const {members} = group;
  const preferred =
    organisation === undefined
      ? undefined
      : preferredReplica(group, organisation);
  // Both directions from each start, so that any two members that are equal
  // come first equally often.
  const start = turn >> 1;
  const step = turn % 2 === 0 ? 1 : members.length - 1;
  for (let offset = 0; offset < members.length; offset++) {
    const member = members[(start + offset * step) % members.length] as Member;
    if (member.state !== 'active') continue;
    const cost =
      readCost(group, member, dataCentre, requirement, estimates) +
      ejectionCost(member, outliers) +
      affinityCost(member, preferred);
    let index = costs.length;
    while (index > 0 && (costs[index - 1] as number) > cost) index--;
    costs.splice(index, 0, cost);
    ordered.splice(index, 0, member);
  }
  return ordered;
}

function ejectionCost(
  {name}: Member,
  outliers: MemberOutliers | undefined,
): number {
  return outliers?.isEjected(name) === true ? EJECTED_COST_MILLISECONDS : 0;
}

function affinityCost({name}: Member, preferred: string | undefined): number {
  return preferred === undefined || preferred === name
    ? 0
    : AFFINITY_COST_MILLISECONDS;
}

function readCost(
  group: DatabaseGroup,
  {name, dataCentre: memberDataCentre}: Member,
  dataCentre: string,
  {floor, floorAgeMilliseconds}: ReadRequirement,
  estimates: MemberEstimates,
): number {
  const isPrimary = name === group.primary;
  const catchUp = isPrimary
    ? 0
    : estimates.catchUpMilliseconds(name, floor, floorAgeMilliseconds);
  return (
    estimates.expectedWaitMilliseconds(name) +
    (memberDataCentre === dataCentre
      ? 0
      : REMOTE_DATA_CENTRE_COST_MILLISECONDS) +
    (isPrimary ? PRIMARY_COST_MILLISECONDS : 0) +
    catchUp +
    (estimates.isAvoided(name) ? AVOIDED_COST_MILLISECONDS : 0)
  );
}
