import { randomBytes } from 'node:crypto'

/** Length of an incarnation, in bytes. */
const INCARNATION_BYTES = 4

/** Returns the random id of one run of a router. */
export function createIncarnation(): string {
  return randomBytes(INCARNATION_BYTES).toString('hex')
}
