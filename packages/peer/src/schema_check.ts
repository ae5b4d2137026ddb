import {ZodType} from 'zod';
import {Check} from './peer_call.js';

/** A check of a message that takes exactly what a schema takes. */
export function checkWith<T>(schema: ZodType<T>): Check<T> {
  return candidate => schema.safeParse(candidate).data;
}
