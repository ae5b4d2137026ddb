import {ZodType} from 'zod';
import {Check} from './peer_call.js';

/** Creates a check that accepts exactly the values that a schema accepts. */
export function checkWith<T>(schema: ZodType<T>): Check<T> {
  return candidate => schema.safeParse(candidate).data;
}

/**
 * Returns whether a value is an object whose fields have the types that
 * `typeof` names. It is cheaper than a schema, for messages that are sent
 * often.
 */
export function hasFields(
  candidate: unknown,
  types: Readonly<Record<string, string>>,
): boolean {
  if (typeof candidate !== 'object' || candidate === null) return false;
  const values = candidate as Readonly<Record<string, unknown>>;
  for (const name in types) {
    if (typeof values[name] !== types[name]) return false;
  }
  return true;
}
