/** Exit codes of the command-line tool; docs/cli.md says what to do at each. */
export enum ExitCode {
  /** The command did what it was asked. */
  Done = 0,
  /** The router refused or failed; the message says why. */
  Failed = 1,
  /** The command line is wrong. */
  Usage = 2,
  /** Another change came into force first. */
  Conflict = 3,
  /** No answer from the router. */
  Unreachable = 4,
  /** The change may come into force; ask for its patch id. */
  Unknown = 5,
  /** The token is missing, wrong or expired, or its role is too low. */
  Forbidden = 6,
}
