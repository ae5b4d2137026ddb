import {Either} from 'purify-ts';

/** Identifies who ordered a promotion, so that outdated orders are rejected. */
export interface PromotionAuthority {
  /** The name of the control leader. */
  readonly holder: string;
  /** Increases with each change of the control leader. */
  readonly fencingToken: number;
}

/** Why a promotion was not accepted. */
export type PromotionError =
  /** The member is not running. */
  | {readonly kind: 'notRunning'}
  /** The rate limit was exceeded; the promotion was not started. */
  | {readonly kind: 'tooManyCalls'}
  /** It is unknown whether the promotion was accepted. */
  | {readonly kind: 'unavailable'; readonly reason: string};

/**
 * Orders promotions of members. An accepted promotion takes effect some time
 * later.
 */
export abstract class PromotionClient {
  abstract promote(
    database: string,
    member: string,
    authority: PromotionAuthority,
  ): Promise<Either<PromotionError, void>>;
}
