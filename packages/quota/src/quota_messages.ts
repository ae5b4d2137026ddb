import {z} from 'zod';
import {checkWith, PeerCall} from '@apricotlock/peer';

const MAXIMUM_NAME_CHARACTERS = 300;
const MAXIMUM_ITEMS = 10_000;
const REQUEST_NUMBERS = 6;

/**
 * A request for one organisation. A tuple, because it is sent for about each
 * operation of a VM with few callers and field names would double its size.
 */
export type GrantItem = readonly [
  organisation: string,
  /** The operations that wait for the answer. */
  needed: number,
  /** The needed operations and those expected soon. */
  wanted: number,
  /** Granted operations that the VM holds. */
  held: number,
  /** Granted operations that expired unused. */
  returned: number,
  sequence: number,
  /**
   * 1 if an earlier request is unanswered and may still be answered, else 0.
   */
  isRetry: number,
];

/** Requests of one VM to one coordinator. */
export interface GrantRequest {
  readonly from: string;
  readonly items: readonly GrantItem[];
}

/**
 * The answer for one organisation: empty if the VM does not coordinate it, the
 * granted operations, or, if there was no room for those needed, also the
 * milliseconds until there is room and those between two further operations of
 * the requesting VM.
 */
export type GrantAnswer =
  | readonly []
  | readonly [granted: number]
  | readonly [
      granted: number,
      roomAfterMilliseconds: number,
      intervalMilliseconds: number,
    ];

/** A VM asks which shards another one does not give up to it. */
export interface ShardClaim {
  readonly from: string;
  readonly shards: readonly number[];
}

/** Asked by a VM that has become the coordinator of shards; rarely sent. */
export const CLAIM_SHARDS = PeerCall.define(
  'quota.claimShards',
  checkWith(
    z.object({
      from: z.string().max(MAXIMUM_NAME_CHARACTERS),
      shards: z.array(z.int().min(0)).max(MAXIMUM_ITEMS),
    }),
  ),
  checkWith(z.object({kept: z.array(z.int().min(0)).max(MAXIMUM_ITEMS)})),
);

/** Requests granted operations; answers are in the order of the items. */
export const GRANT = PeerCall.define<
  GrantRequest,
  {readonly answers: readonly GrantAnswer[]}
>('quota.grant', checkRequest, checkAnswers);

function checkRequest(candidate: unknown): GrantRequest | undefined {
  if (typeof candidate !== 'object' || candidate === null) return undefined;
  const {from, items} = candidate as Partial<GrantRequest>;
  if (!isName(from) || !Array.isArray(items)) return undefined;
  if (items.length > MAXIMUM_ITEMS || !items.every(isItem)) return undefined;
  return {from, items};
}

function checkAnswers(
  candidate: unknown,
): {readonly answers: readonly GrantAnswer[]} | undefined {
  if (typeof candidate !== 'object' || candidate === null) return undefined;
  const {answers} = candidate as {answers?: unknown};
  if (!Array.isArray(answers) || !answers.every(isAnswer)) return undefined;
  return {answers};
}

function isItem(candidate: unknown): candidate is GrantItem {
  if (!Array.isArray(candidate)) return false;
  const [organisation, ...numbers] = candidate as unknown[];
  return (
    isName(organisation) &&
    numbers.length === REQUEST_NUMBERS &&
    numbers.every(value => Number.isSafeInteger(value) && isAmount(value))
  );
}

function isAnswer(candidate: unknown): candidate is GrantAnswer {
  if (!Array.isArray(candidate)) return false;
  const {length} = candidate;
  return (
    (length < 2 || length === 3) &&
    candidate.every(isAmount) &&
    (length === 0 || Number.isSafeInteger(candidate[0]))
  );
}

function isName(candidate: unknown): candidate is string {
  return (
    typeof candidate === 'string' && candidate.length <= MAXIMUM_NAME_CHARACTERS
  );
}

function isAmount(candidate: unknown): boolean {
  return (
    typeof candidate === 'number' &&
    Number.isFinite(candidate) &&
    candidate >= 0
  );
}
