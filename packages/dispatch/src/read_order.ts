import {LogPosition} from '@apricotlock/statement';
import {DatabaseGroup, Member} from '@apricotlock/topology';
import {MemberStandings} from './member_standing.js';

/** What reaching a member of another data centre costs, in milliseconds. */
const OTHER_DATA_CENTRE_MILLISECONDS = 4;
/** Reads leave the primary to writes until replicas are so much busier. */
const PRIMARY_MILLISECONDS = 10;
/** A replica that is probably behind costs a round trip in vain. */
const BEHIND_MILLISECONDS = 40;
const AVOIDED_MILLISECONDS = 10_000;

/** What a read has to show. */
export interface ReadNeeds {
  readonly floor: LogPosition | undefined;
  /** How long ago the primary had reached the floor, in milliseconds. */
  readonly floorAgeMilliseconds: number;
}

/**
 * In which order members are tried for a read. The load it answers: many more
 * reads than writes, replicas that lag by turns, and a primary whose slots are
 * wanted by writes. The member that is free and fresh first goes first.
 */
export function readOrder(
  group: DatabaseGroup,
  dataCentre: string,
  needs: ReadNeeds,
  standings: MemberStandings,
): readonly Member[] {
  const cost = (member: Member) =>
    readCost(group, member, dataCentre, needs, standings);
  return group.members
    .filter(({state}) => state === 'active')
    .map(member => ({member, cost: cost(member)}))
    .sort((left, right) => left.cost - right.cost)
    .map(({member}) => member);
}

function readCost(
  group: DatabaseGroup,
  {name, dataCentre: where}: Member,
  dataCentre: string,
  {floor, floorAgeMilliseconds}: ReadNeeds,
  standings: MemberStandings,
): number {
  const leads = name === group.primary;
  const has = leads || standings.probablyHas(name, floor, floorAgeMilliseconds);
  return (
    standings.expectedWait(name) +
    (where === dataCentre ? 0 : OTHER_DATA_CENTRE_MILLISECONDS) +
    (leads ? PRIMARY_MILLISECONDS : 0) +
    (has ? 0 : BEHIND_MILLISECONDS) +
    (standings.isAvoided(name) ? AVOIDED_MILLISECONDS : 0)
  );
}
