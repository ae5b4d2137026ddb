import {Announcement} from '@apricotlock/member';
import {
  CatalogueEntry,
  Member,
  MemberState,
  Organisation,
} from '@apricotlock/topology';

/** Who requested a change, and the id by which a resend is recognised. */
export interface ChangeOrigin {
  /** Chosen by the requester; a resend carries the same id. */
  readonly changeId: string;
  readonly actor: string;
  /**
   * Milliseconds since the Unix epoch, by the clock of the process that
   * received the change.
   */
  readonly at: number;
}

/** One command for the replicated log. */
export type ControlCommand =
  | {
      readonly kind: 'putCatalogue';
      readonly origin: ChangeOrigin;
      /** The version on which the edit is based. */
      readonly baseVersion: number;
      readonly entries: readonly CatalogueEntry[];
      /** If absent, the organisations remain as they are. */
      readonly organisations?: readonly Organisation[] | undefined;
    }
  /**
   * Replaces the whole catalogue, under a version that the operators choose.
   */
  | {
      readonly kind: 'replaceCatalogue';
      /**
       * Has an effect only if it is above the version of the stored catalogue,
       * or if there is none.
       */
      readonly version: number;
      readonly entries: readonly CatalogueEntry[];
      /** If absent, the new catalogue has no organisations. */
      readonly organisations?: readonly Organisation[] | undefined;
      /** The operators' own document, returned to them on request. */
      readonly document: string;
      readonly at: number;
    }
  /** Records a member's report on itself, which carries a sequence number. */
  | {
      readonly kind: 'reportMember';
      readonly report: MemberReport;
      readonly at: number;
    }
  | {
      readonly kind: 'registerMember';
      readonly announcement: Announcement;
      readonly at: number;
    }
  | {
      readonly kind: 'setMemberState';
      readonly origin: ChangeOrigin;
      readonly member: string;
      readonly state: MemberState;
    }
  /** Begins a new term, which has no primary yet. */
  | {
      readonly kind: 'beginTerm';
      readonly database: string;
      readonly expectedTerm: number;
      readonly term: number;
      readonly reason: string;
      readonly at: number;
    }
  /**
   * Records the member that is about to be promoted, before the promotion is
   * requested.
   */
  | {
      readonly kind: 'orderPromotion';
      readonly database: string;
      readonly term: number;
      readonly member: string;
      readonly at: number;
    }
  | {
      readonly kind: 'setPrimary';
      readonly database: string;
      readonly term: number;
      readonly primary: string;
      /**
       * The entry VM that holds the lease of the primary, if one is to be
       * named.
       */
      readonly holder?: string | undefined;
      readonly at: number;
    }
  /**
   * Records that the logs of removed members are on a present replica, as far
   * as the primary of the term held them.
   */
  | {
      readonly kind: 'confirmRemovedLogs';
      readonly database: string;
      readonly term: number;
      readonly members: readonly string[];
      readonly at: number;
    };

/** A member's report on itself; `removed` means that it has shut down. */
export type MemberReport = Omit<Member, 'reportSequence' | 'apiAddress'> & {
  readonly reportSequence: number;
};

/** The result of a command. */
export type CommandAnswer =
  | {
      readonly kind: 'accepted';
      readonly index: number;
      readonly version: number;
      /**
       * Whether the command changed the view; `false` if the view already was as
       * requested or knew something newer. Absent in an answer of an earlier
       * version of the product.
       */
      readonly changed?: boolean | undefined;
    }
  /** Another change of the same object came first. */
  | {readonly kind: 'conflict'; readonly version: number}
  | {readonly kind: 'refused'; readonly reason: string};
