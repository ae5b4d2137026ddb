import {z} from 'zod';
import {
  formatPosition,
  parsePosition,
  Position,
  POSITION_ZERO,
} from '@apricotlock/session';

/** The role of a member in its group. */
export type MemberRole = 'primary' | 'replica';

/** The status that a member reports of itself. */
export interface MemberStatus {
  readonly name: string;
  readonly database: string;
  /** The highest term at which it was fenced; it refuses earlier terms. */
  readonly fencedTerm: number;
  /**
   * The term whose history contains the log of this member. The member holds at
   * least what the primary of the term held when the member began to follow it.
   * The value is 0 for a member that has never held a record.
   */
  readonly term: number;
  readonly role: MemberRole;
  /** For a replica, whether it has a primary to receive the log from. */
  readonly following: boolean;
  /** The position up to which it durably holds the log. */
  readonly received: Position;
  /** The position up to which its reads show the log. */
  readonly applied: Position;
}

const positionSchema = z.string().transform((text, context): Position => {
  const position = parsePosition(text);
  if (position.isLeft()) {
    context.addIssue({code: 'custom', message: 'invalid log position'});
  }
  return position.orDefault(POSITION_ZERO);
});

const statusSchema = z.object({
  name: z.string(),
  database: z.string(),
  fencedTerm: z.int().min(0),
  term: z.int().min(0),
  role: z.enum(['primary', 'replica']),
  following: z.boolean(),
  received: positionSchema,
  applied: positionSchema,
});

/** Parses the JSON form; returns `undefined` if it is not a status. */
export function readStatus(candidate: unknown): MemberStatus | undefined {
  const result = statusSchema.safeParse(candidate);
  return result.success ? result.data : undefined;
}

/** Returns the JSON form that {@link readStatus} parses. */
export function statusToJson(status: MemberStatus): object {
  return {
    ...status,
    received: formatPosition(status.received),
    applied: formatPosition(status.applied),
  };
}
