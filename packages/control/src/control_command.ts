import {Announcement} from '@apricotlock/member';
import {CatalogueEntry, MemberState} from '@apricotlock/topology';

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
  | {
      readonly kind: 'setPrimary';
      readonly database: string;
      readonly term: number;
      readonly primary: string;
      readonly at: number;
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
