/**
 * Exit codes of the command-line tool; docs/cli.md describes how to handle
 * each.
 */
export enum ExitCode {
  /** The command succeeded. */
  Done = 0,
  /** The router rejected the request or failed; the message states why. */
  Failed = 1,
  /** The command line is invalid. */
  Usage = 2,
  /** Another change took effect first. */
  Conflict = 3,
  /** The router did not respond. */
  Unreachable = 4,
  /** The change may still take effect; look up its patch id. */
  Unknown = 5,
  /** The token is missing, wrong or expired, or its role is too low. */
  Forbidden = 6,
}
