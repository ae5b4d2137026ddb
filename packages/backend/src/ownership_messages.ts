import {z} from 'zod';
import {PeerCall} from '@apricotlock/peer';

/** Connections and leases that a former owner still has at a member. */
export interface Holding {
  /** Number of connections that are open or being opened. */
  readonly connections: number;
  /** Number of leases by entry; each may be running a statement. */
  readonly leases: Readonly<Record<string, number>>;
}

/** Claim of a VM that is the owner of a member according to its own view. */
export interface OwnershipClaim {
  readonly member: string;
  readonly claimant: string;
  readonly dataCentre: string;
}

/** Answer to a claim. */
export type ClaimAnswer =
  /** The VM has no connections to the member and opens none. */
  | {readonly kind: 'free'}
  /** The VM starts no new leases; `holding` is what remains. */
  | {readonly kind: 'holding'; readonly holding: Holding}
  /** The VM is the owner and ranks higher than the claimant. */
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

/** Asks a VM to relinquish a member to the claimant. */
export const CLAIM_OWNERSHIP = PeerCall.define<OwnershipClaim, ClaimAnswer>(
  'backend.claimOwnership',
  candidate => claimSchema.safeParse(candidate).data,
  candidate => answerSchema.safeParse(candidate).data,
);
