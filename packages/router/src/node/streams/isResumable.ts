import { RequestKind } from '../configuration/requestKind.js'
import type { Route } from '../configuration/route.js'

/** Whether the streams of a route may go on at another target. */
export function isResumable({ kind, resumable }: Route): boolean {
  return kind === RequestKind.Stream && resumable
}
