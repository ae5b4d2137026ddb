import {Either} from 'purify-ts';

/** Identifies who ordered a promotion, so that outdated orders are rejected. */
export interface PromotionAuthority {
  /** The name of the control leader. */
  readonly holder: string;
  /** Increases with each change of the control leader. */
  readonly fencingToken: number;
  /**
   * Whether the holder is certain to lead still, and the order to be in force.
   * A process can be held up, and a connection can be cut, between any two steps
   * of a call, so that it must be asked last: see {@link PromotionClient}.
   */
  readonly isCurrent: () => boolean;
}

/** Why a promotion was not accepted. */
export type PromotionError =
  /** The member is not running. */
  | {readonly kind: 'notRunning'}
  /** The order was not sent, and can't be accepted later. */
  | {readonly kind: 'notSent'; readonly reason: string}
  /** The rate limit was exceeded; the promotion was not started. */
  | {readonly kind: 'tooManyCalls'}
  /** It is unknown whether the promotion was accepted. */
  | {readonly kind: 'unavailable'; readonly reason: string};

/**
 * Orders promotions of members. An accepted promotion takes effect some time
 * later. An order must not arrive after a successor of its holder has ordered
 * another promotion, so an implementation sends it on a connection on which the
 * receiver has just answered, and only if the authority is current right then.
 */
export abstract class PromotionClient {
  abstract promote(
    database: string,
    member: string,
    authority: PromotionAuthority,
  ): Promise<Either<PromotionError, void>>;
}
