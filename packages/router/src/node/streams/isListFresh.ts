import { EVENT_LOOP_PAUSE_MS } from '../constants.js'

/** A target list up to this age, in milliseconds, is compared with what other routers may know. */
const FRESH_AGE_MS = 1_500
/** Longest time of a poll of the list, in milliseconds. */
const MAX_POLL_MS = 800

/**
 * Milliseconds after which every router that trusts its target list has a new software
 * version in it: the age of a fresh list, the time that its poll may have taken, and a
 * pause of the process that is too short to be noticed.
 */
export const VERSION_SPREAD_MS =
  FRESH_AGE_MS + MAX_POLL_MS + EVENT_LOOP_PAUSE_MS

/**
 * Whether a list has every software version that another router begins streams at.
 * @param ageMs Staleness of the list; infinite after a pause of the process.
 */
export function isListFresh(ageMs: number): boolean {
  return ageMs <= FRESH_AGE_MS
}
