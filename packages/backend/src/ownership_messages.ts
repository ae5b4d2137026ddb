import {z} from 'zod';
import {PeerCall} from '@apricotlock/peer';

/** What a former owner still has of a member. */
export interface Holding {
  /** Connections that are open or being opened. */
  readonly connections: number;
  /** Leases by entry; each may be running a statement. */
  readonly leases: Readonly<Record<string, number>>;
}

/** A VM's claim to a member, as its owner in its own view. */
export interface OwnershipClaim {
  readonly member: string;
  readonly claimant: string;
  readonly dataCentre: string;
}

/** What the asked VM has to do with the member. */
export type ClaimAnswer =
  /** It has nothing of the member, and begins nothing on it. */
  | {readonly kind: 'free'}
  /** It begins nothing new, and this is what it still has. */
  | {readonly kind: 'holding'; readonly holding: Holding}
  /** It is the owner, and ranks before the claimant. */
  | {readonly kind: 'kept'};

const claimSchema = z.object({
  member: z.string(),
  claimant: z.string(),
  dataCentre: z.string(),
});

const answerSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('free')}),
  z.object({
    kind: z.literal('holding'),
    holding: z.object({
      connections: z.int().min(0),
      leases: z.record(z.string(), z.int().min(0)),
    }),
  }),
  z.object({kind: z.literal('kept')}),
]);

/** Asks a VM to leave a member to the one that claims it. */
export const CLAIM_OWNERSHIP = PeerCall.define<OwnershipClaim, ClaimAnswer>(
  'backend.claimOwnership',
  candidate => claimSchema.safeParse(candidate).data,
  candidate => answerSchema.safeParse(candidate).data,
);
