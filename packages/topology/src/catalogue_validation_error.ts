import {z} from 'zod';

/** A validation error in a catalogue, with the path of the invalid value. */
export interface CatalogueValidationError {
  /** The path of the invalid value, such as `entries[2].limits.slots`. */
  readonly path: string;
  readonly message: string;
}

/**
 * Converts the issues that zod found in the part of a catalogue called `root`.
 */
export function toValidationErrors(
  root: string,
  issues: readonly z.core.$ZodIssue[],
): readonly CatalogueValidationError[] {
  return issues.map(({path, message}) => ({
    path: root + path.map(formatPathPart).join(''),
    message,
  }));
}

function formatPathPart(part: PropertyKey): string {
  return typeof part === 'number' ? `[${part}]` : `.${String(part)}`;
}
