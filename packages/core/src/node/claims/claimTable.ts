import { ClaimRecordKind, claimRecordSchema } from './claimRecord.js'

/** Phase of the request that holds a claim. */
export enum ClaimPhase {
  /** The request may be running. */
  Running = 'running',
  /** A target responded. */
  Finished = 'finished',
  /** The holder does not know whether the request ran. */
  Unknown = 'unknown',
}

/** Claim that currently holds an idempotency key. */
export interface HeldClaim {
  readonly claimId: string
  readonly digest: string
  readonly offset: number
  /** Time of the record in the log, in milliseconds since the epoch. */
  readonly atMs: number
  readonly phase: ClaimPhase
  readonly status?: number
}

/** Result of a claim, which the order of the log determines. */
export interface ClaimDecision {
  readonly claimId: string
  readonly key: string
  /** Claim that holds the key; this claim itself if it was first. */
  readonly holder: HeldClaim
}

/**
 * State built from the claims stream. The first claim of a key in log order
 * holds it, so every router that reads the stream decides the same.
 */
export interface ClaimTable {
  /** Applies the record at `offset`; returns the decision if it is a claim. */
  apply(value: unknown, offset: number, atMs: number): ClaimDecision | undefined
  /** Drops claims before `offset`, which the log no longer retains. */
  trim(offset: number): void
  /** Drops all claims after a gap in the log and raises the horizon to `atMs`. */
  reset(atMs: number): void
  find(key: string): HeldClaim | undefined
  readonly size: number
  /**
   * Milliseconds since the epoch; claims recorded up to this time may be
   * missing from the table. Initially -Infinity.
   */
  readonly horizonMs: number
}

/** Creates a table of at most `maxClaims` claims; evicts the oldest first. */
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
        const claim: HeldClaim = { claimId, digest, offset, atMs, phase }
        held.set(key, claim)
        limitSize()
        return { claimId, key, holder: claim }
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
