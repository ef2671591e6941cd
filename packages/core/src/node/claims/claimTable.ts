import { ClaimRecordKind, claimRecordSchema } from './claimRecord.js'

/** What is known of a key whose claim was won. */
export enum ClaimPhase {
  /** The winner may be running the request. */
  Running = 'running',
  /** A target answered. */
  Finished = 'finished',
  /** The winner does not know whether the request ran. */
  Unknown = 'unknown',
}

/** The claim that holds a key. */
export interface HeldClaim {
  readonly claimId: string
  readonly digest: string
  readonly offset: number
  /** Milliseconds since the epoch, as the log recorded them. */
  readonly atMs: number
  readonly phase: ClaimPhase
  readonly status?: number
}

/** What log order made of one claim. */
export interface ClaimDecision {
  readonly claimId: string
  readonly key: string
  /** The claim that holds the key; the decided one itself when it won. */
  readonly holder: HeldClaim
}

/** Folds the claims stream; every router that reads it decides alike. */
export interface ClaimTable {
  /** Takes in the record at `offset`; returns the decision on a claim. */
  apply(value: unknown, offset: number, atMs: number): ClaimDecision | undefined
  /** Drops claims before `offset`, which the log has dropped. */
  trim(offset: number): void
  /** Forgets everything claimed up to `atMs`, after a gap in the log. */
  reset(atMs: number): void
  find(key: string): HeldClaim | undefined
  readonly size: number
  /** Claims recorded up to this time are not all known; -Infinity at first. */
  readonly horizonMs: number
}

/**
 * Creates a table that holds at most `maxClaims`; the oldest are dropped first.
 */
export function createClaimTable(maxClaims: number): ClaimTable {
  // Insertion order is log order.
  const held = new Map<string, HeldClaim>()
  let horizonMs = -Infinity

  function drop(key: string, claim: HeldClaim): void {
    held.delete(key)
    horizonMs = Math.max(horizonMs, claim.atMs)
  }

  function limitSize(): void {
    for (const [key, claim] of held) {
      if (held.size <= maxClaims) return
      drop(key, claim)
    }
  }

  return {
    apply(value, offset, atMs) {
      const parsed = claimRecordSchema.safeParse(value)
      if (!parsed.success) return undefined
      const record = parsed.data
      const { key, claimId } = record
      const holder = held.get(key)
      if (record.kind === ClaimRecordKind.Claim) {
        if (holder) return { claimId, key, holder }
        const { digest } = record
        const phase = ClaimPhase.Running
        const won: HeldClaim = { claimId, digest, offset, atMs, phase }
        held.set(key, won)
        limitSize()
        return { claimId, key, holder: won }
      }
      if (holder?.claimId !== claimId) return undefined
      if (record.kind === ClaimRecordKind.Release) held.delete(key)
      else if (record.status === undefined)
        held.set(key, { ...holder, phase: ClaimPhase.Unknown })
      else {
        const { status } = record
        held.set(key, { ...holder, phase: ClaimPhase.Finished, status })
      }
      return undefined
    },
    trim(offset) {
      for (const [key, claim] of held) {
        if (claim.offset >= offset) return
        drop(key, claim)
      }
    },
    reset(atMs) {
      for (const [key, claim] of held) drop(key, claim)
      horizonMs = Math.max(horizonMs, atMs)
    },
    find: (key) => held.get(key),
    get size() {
      return held.size
    },
    get horizonMs() {
      return horizonMs
    },
  }
}
