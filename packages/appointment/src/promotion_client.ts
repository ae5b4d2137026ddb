import {Either} from 'purify-ts';

/** Whose decision a promotion is, so that an older one can be told apart. */
export interface PromotionAuthority {
  /** The VM that leads control. */
  readonly holder: string;
  /** Goes up with each change of the leader. */
  readonly fencingToken: number;
}

/** Why a promotion was not accepted. */
export type PromotionError =
  /** The member is not running. */
  | {readonly kind: 'notRunning'}
  /** Too many calls; nothing was done. */
  | {readonly kind: 'tooManyCalls'}
  /** Nobody knows whether it was accepted. */
  | {readonly kind: 'unavailable'; readonly reason: string};

/** Orders the promotion of a member; it takes effect some time later. */
export abstract class PromotionClient {
  abstract promote(
    database: string,
    member: string,
    authority: PromotionAuthority,
  ): Promise<Either<PromotionError, void>>;
}
