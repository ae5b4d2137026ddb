import {ZodType} from 'zod';
import {Check} from './peer_call.js';

/** Creates a check that accepts exactly the values that a schema accepts. */
export function checkWith<T>(schema: ZodType<T>): Check<T> {
  return candidate => schema.safeParse(candidate).data;
}
