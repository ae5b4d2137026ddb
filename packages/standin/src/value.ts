/** A value of a column; integers are numbers, all else that is not is text. */
export type Value = string | number | boolean | null;

/** A row's values, by column. */
export type RowValues = Readonly<Record<string, Value>>;

/** Type OIDs of the PostgreSQL catalogue. */
export const TypeOid = {
  BOOLEAN: 16,
  BIGINT: 20,
  INTEGER: 23,
  TEXT: 25,
  LSN: 3220,
  UNKNOWN: 0,
} as const;

/** The text form in which a value is sent. */
export function valueToText(value: Value): string | null {
  if (value === null) return null;
  if (value === true) return 't';
  if (value === false) return 'f';
  return String(value);
}

/** Orders values as SQL does; numbers and number-like texts by their size. */
export function compareValues(left: Value, right: Value): number {
  if (typeof left === 'number' || typeof right === 'number') {
    return Number(left) - Number(right);
  }
  const leftText = String(left);
  const rightText = String(right);
  if (leftText === rightText) return 0;
  return leftText < rightText ? -1 : 1;
}
