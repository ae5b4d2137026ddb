/** What the command's exit code says. */
export const ExitCode = {
  /** Done. */
  SUCCESS: 0,
  /** The system refused, or the answer tells of a fault. */
  REFUSED: 1,
  /** The command line or an input file is wrong: nothing was sent. */
  USAGE: 2,
  /** Somebody else's change came first. */
  CONFLICT: 3,
  /** No answer: the change may have been taken; send it again. */
  UNREACHABLE: 4,
  /** The change was taken, but is not in force on every VM yet. */
  NOT_IN_FORCE: 5,
} as const;
