/** A target list up to this age, in milliseconds, has the targets that other routers may have sent requests to. */
const FRESH_AGE_MS = 1_000

/**
 * Whether a target that another router knows would be in this router's list.
 * @param ageMs Staleness of the list; infinite after a pause of the process.
 */
export function isListFresh(ageMs: number, livePeers: number): boolean {
  // Live peers pass on any newer list that one of them has.
  return ageMs <= FRESH_AGE_MS || (livePeers > 0 && Number.isFinite(ageMs))
}
