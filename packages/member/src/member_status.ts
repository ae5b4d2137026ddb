import {z} from 'zod';
import {
  formatPosition,
  parsePosition,
  Position,
  POSITION_ZERO,
} from '@apricotlock/session';

/** What a member does in its group. */
export type MemberRole = 'primary' | 'replica';

/** What a member says of itself. */
export interface MemberStatus {
  readonly name: string;
  readonly database: string;
  /** The highest term it was fenced at: it refuses anything older. */
  readonly fencedTerm: number;
  /**
   * The term whose history its log is a part of, and of which it holds at
   * least what the term's primary held when this member began to follow it;
   * 0 for a member that has never held anything.
   */
  readonly term: number;
  readonly role: MemberRole;
  /** For a replica: whether it takes the log from a primary. */
  readonly following: boolean;
  /** How far it holds the log durably. */
  readonly received: Position;
  /** How far its reads show the log. */
  readonly applied: Position;
}

const positionSchema = z.string().transform((text, context): Position => {
  const position = parsePosition(text);
  if (position.isLeft()) {
    context.addIssue({code: 'custom', message: 'not a log position'});
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

/** Reads the JSON form; `undefined` if it is not a status. */
export function readStatus(candidate: unknown): MemberStatus | undefined {
  const result = statusSchema.safeParse(candidate);
  return result.success ? result.data : undefined;
}

/** Writes the JSON form that {@link readStatus} reads. */
export function statusToJson(status: MemberStatus): object {
  return {
    ...status,
    received: formatPosition(status.received),
    applied: formatPosition(status.applied),
  };
}
