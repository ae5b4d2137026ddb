/** What is wrong with the files of the data folder. */
export type StorageError =
  /** A file is damaged where a crash cannot have damaged it. */
  | {
      readonly kind: 'corrupt';
      readonly file: string;
      readonly offsetBytes: number;
    }
  /** The disk refused. */
  | {readonly kind: 'disk'; readonly file: string; readonly reason: string};

/** One line for logs and for the process's last words. */
export function describeStorageError(error: StorageError): string {
  if (error.kind === 'disk') return `${error.file}: ${error.reason}`;
  return (
    `${error.file}: damaged at byte ${error.offsetBytes}; ` +
    'move the data folder away to come back as a new voter'
  );
}
