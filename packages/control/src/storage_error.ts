/** Why the files of the data folder cannot be used. */
export type StorageError =
  /** A file is damaged in a place that a crash cannot have damaged. */
  | {
      readonly kind: 'corrupt';
      readonly file: string;
      readonly offsetBytes: number;
    }
  /** An operation of the file system failed. */
  | {readonly kind: 'disk'; readonly file: string; readonly reason: string};

/**
 * Describes an error in one line, for logs and for the message with which the
 * process exits.
 */
export function describeStorageError(error: StorageError): string {
  if (error.kind === 'disk') return `${error.file}: ${error.reason}`;
  return (
    `${error.file}: damaged at byte ${error.offsetBytes}; ` +
    'move the data folder away to come back as a new voter'
  );
}
