import {Either, Left, Right} from 'purify-ts';
import {CatalogueContent} from '@apricotlock/control';
import {
  CatalogueValidationError,
  validateEntries,
  validateOrganisations,
} from '@apricotlock/topology';

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
