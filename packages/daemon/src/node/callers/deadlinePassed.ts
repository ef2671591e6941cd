/** Why a request's signal is aborted when its deadline passes. */
export class DeadlinePassed extends Error {
  constructor() {
    super('the deadline passed')
  }
}
