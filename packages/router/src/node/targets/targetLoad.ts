/** The load that a target tells of itself with an answer. */
export interface TargetLoad {
  readonly running: number
  readonly waiting: number
}
