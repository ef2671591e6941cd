/** Abort reason of a request whose deadline has passed. */
export class DeadlinePassed extends Error {
  constructor() {
    super('the deadline passed')
  }
}
