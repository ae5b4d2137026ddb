import {Announcement} from '@apricotlock/member';
import {CatalogueEntry, Member, MemberState} from '@apricotlock/topology';

/** Who asked for a change, and by which id it can be asked for again. */
export interface ChangeOrigin {
  /** Chosen by who asks; a resend carries the same id. */
  readonly changeId: string;
  readonly actor: string;
  /** Milliseconds since the Unix epoch, on the clock of who took the change. */
  readonly at: number;
}

/** One decision for the replicated log. */
export type ControlCommand =
  | {
      readonly kind: 'putCatalogue';
      readonly origin: ChangeOrigin;
      /** The version from which the edit was made. */
      readonly baseVersion: number;
      readonly entries: readonly CatalogueEntry[];
    }
  /** Puts a whole catalogue whose version operators number themselves. */
  | {
      readonly kind: 'replaceCatalogue';
      /** Only a version above the one in force changes anything. */
      readonly version: number;
      readonly entries: readonly CatalogueEntry[];
      /** The operators' own document, given back when they ask for it. */
      readonly document: string;
      readonly at: number;
    }
  /** What a member says of itself, with the order of its reports. */
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
  /** Opens a new term, which has no primary yet. */
  | {
      readonly kind: 'beginTerm';
      readonly database: string;
      readonly expectedTerm: number;
      readonly term: number;
      readonly reason: string;
      readonly at: number;
    }
  /** Says that a member's promotion is about to be ordered. */
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
      /** The entry VM that alone may use it, where one is to be named. */
      readonly holder?: string | undefined;
      readonly at: number;
    };

/** A member as it reports itself; `removed` says that it has left. */
export type MemberReport = Omit<Member, 'reportSequence' | 'apiAddress'> & {
  readonly reportSequence: number;
};

/** What became of a command. */
export type CommandAnswer =
  | {
      readonly kind: 'accepted';
      readonly index: number;
      readonly version: number;
    }
  /** Somebody else's change came first. */
  | {readonly kind: 'conflict'; readonly version: number}
  | {readonly kind: 'refused'; readonly reason: string};
