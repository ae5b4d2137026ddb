/** An SQL value. All but numbers, booleans and NULL are kept as text. */
export type Value = string | number | boolean | null;

/** The values of a row by column name. */
export type RowValues = Readonly<Record<string, Value>>;

/** Type OIDs of PostgreSQL's system catalogue. */
export const TypeOid = {
  BOOLEAN: 16,
  BIGINT: 20,
  INTEGER: 23,
  TEXT: 25,
  LSN: 3220,
  UNKNOWN: 0,
} as const;

/** Returns the text form in which a value is sent; `null` for NULL. */
export function valueToText(value: Value): string | null {
  if (value === null) return null;
  if (value === true) return 't';
  if (value === false) return 'f';
  return String(value);
}

/** Compares values as SQL does: as numbers if either is one, else as text. */
export function compareValues(left: Value, right: Value): number {
  if (typeof left === 'number' || typeof right === 'number') {
    return Number(left) - Number(right);
  }
  const leftText = String(left);
  const rightText = String(right);
  if (leftText === rightText) return 0;
  return leftText < rightText ? -1 : 1;
}
