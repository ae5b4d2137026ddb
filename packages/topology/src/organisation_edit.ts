import {Either, Left, Right} from 'purify-ts';
import {z} from 'zod';
import {
  CatalogueValidationError,
  toValidationErrors,
} from './catalogue_validation_error.js';
import {
  digestOfKey,
  keysSchema,
  Organisation,
  organisationSchema,
} from './organisation.js';

const MAXIMUM_ORGANISATIONS = 20_000;

/**
 * An organisation as an operator sends it: with keys in clear text, or with the
 * digests that the catalogue returned, or both.
 */
const editedOrganisationSchema = organisationSchema.extend({
  keyDigests: organisationSchema.shape.keyDigests.optional(),
  keys: keysSchema.optional(),
});

type EditedOrganisation = z.infer<typeof editedOrganisationSchema>;

const organisationsSchema = z
  .array(editedOrganisationSchema)
  .max(MAXIMUM_ORGANISATIONS)
  .superRefine((organisations, context) => {
    for (const [path, message] of findSharedValues(organisations)) {
      context.addIssue({code: 'custom', path: [...path], message});
    }
  });

/**
 * Validates the organisations of a catalogue that an operator sends. Returns
 * them with digests in place of keys, or all validation errors together; no
 * error repeats a value, since that may be a key.
 */
export function validateOrganisations(
  candidate: unknown,
): Either<readonly CatalogueValidationError[], readonly Organisation[]> {
  const result = organisationsSchema.safeParse(candidate);
  if (result.success) return Right(result.data.map(withDigests));
  const issues = result.error.issues.map(issue =>
    issue.code === 'unrecognized_keys'
      ? {...issue, message: 'has an unknown field'}
      : issue,
  );
  return Left(toValidationErrors('organisations', issues));
}

function withDigests(edited: EditedOrganisation): Organisation {
  const {name, priority, quota} = edited;
  const keyDigests = [...new Set(digestsOf(edited))];
  return {name, keyDigests, priority, ...(quota !== undefined && {quota})};
}

function digestsOf({
  keys = [],
  keyDigests = [],
}: EditedOrganisation): readonly string[] {
  return [...keyDigests, ...keys.map(digestOfKey)];
}

type Issue = readonly [path: ReadonlyArray<string | number>, message: string];

/** Returns an issue for each name and key that an earlier organisation has. */
function findSharedValues(
  organisations: readonly EditedOrganisation[],
): readonly Issue[] {
  const names = new Set<string>();
  const owners = new Map<string, number>();
  return organisations.flatMap((organisation, index) => {
    const issues: Issue[] = [];
    const {name} = organisation;
    if (names.has(name)) issues.push([[index, 'name'], 'is used twice']);
    names.add(name);
    for (const digest of digestsOf(organisation)) {
      const owner = owners.get(digest) ?? index;
      owners.set(digest, owner);
      if (owner === index) continue;
      issues.push([[index], `shares a key with organisations[${owner}]`]);
    }
    return issues;
  });
}
