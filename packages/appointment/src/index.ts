/**
 * Appointing primaries: which member leads each group, which entry VM may use
 * it, and how both are replaced without losing or doubling anything.
 *
 * @packageDocumentation
 */
export {Appointer, type AppointerOptions} from './appointer.js';
export {
  AppointmentRound,
  type RoundCause,
  type RoundOptions,
} from './appointment_round.js';
export {
  LEASE_MILLISECONDS,
  LeaseGrantor,
  type LeaseGrantorOptions,
} from './lease_grantor.js';
export {
  MemberPanel,
  type KnownMember,
  type PanelError,
} from './member_panel.js';
export {
  PromotionClient,
  type PromotionAuthority,
  type PromotionError,
} from './promotion_client.js';
export {
  fencedNeeded,
  haveStoodStill,
  highestTerm,
  isSynchronous,
  leaderAmong,
  longestLog,
  presentMembers,
} from './succession.js';
