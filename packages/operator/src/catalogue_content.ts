import {Either, Left, Right} from 'purify-ts';
import {
  CatalogueEntry,
  CatalogueValidationError,
  Organisation,
  validateEntries,
  validateOrganisations,
} from '@apricotlock/topology';

/** The valid content of an operator's catalogue. */
export interface CatalogueContent {
  readonly entries: readonly CatalogueEntry[];
  readonly organisations?: readonly Organisation[];
}

/** Returns the content, or the validation errors of both lists together. */
export function validateContent(
  entries: readonly unknown[],
  organisations: readonly unknown[] | undefined,
): Either<readonly CatalogueValidationError[], CatalogueContent> {
  const validEntries = validateEntries(entries);
  if (organisations === undefined) {
    return validEntries.map(valid => ({entries: valid}));
  }
  const validOrganisations = validateOrganisations(organisations);
  const errors = [
    ...validEntries.swap().orDefault([]),
    ...validOrganisations.swap().orDefault([]),
  ];
  if (errors.length > 0) return Left(errors);
  return Right({
    entries: validEntries.unsafeCoerce(),
    organisations: validOrganisations.unsafeCoerce(),
  });
}
