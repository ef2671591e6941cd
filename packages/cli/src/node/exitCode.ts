/** Exit codes of the command-line tool. */
export enum ExitCode {
  Done = 0,
  Failed = 1,
  Usage = 2,
  Conflict = 3,
  Unreachable = 4,
}
