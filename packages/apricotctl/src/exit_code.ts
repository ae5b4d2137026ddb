/** The exit codes of the command. */
export const ExitCode = {
  /** The command succeeded. */
  SUCCESS: 0,
  /** The system refused the request or reported validation errors. */
  REFUSED: 1,
  /** The command line or an input file is invalid; no change was sent. */
  USAGE: 2,
  /** The catalogue has another version than the one the change is based on. */
  CONFLICT: 3,
  /**
   * The request got no usable answer. A change may have been applied; it can be
   * sent again under the same change id.
   */
  UNREACHABLE: 4,
  /** The change was accepted, but some VMs have not confirmed it yet. */
  NOT_IN_FORCE: 5,
} as const;
