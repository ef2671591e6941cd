import { randomUUID } from 'node:crypto'
import {
  type ClaimDecision,
  ClaimRecordKind,
  createClaimTable,
  type HeldClaim,
  isKeyAfterHorizon,
  parseKeyTime,
  MAX_KEY_SKEW_MS,
  type RequestFailure,
  Verdict,
} from '@auburnbay/core'
import type { ConsolaInstance } from 'consola'
import { err, ok, type Result } from 'neverthrow'
import type { RoutedRequest } from '../callers/routedRequest.js'
import type { LogClient } from '../logService/logClient.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import {
  abandonedFailure,
  futureKeyFailure,
  heldKeyFailure,
  logFailure,
  oldKeyFailure,
  undatedKeyFailure,
} from './claimFailures.js'
import { requestDigest, scopedKey } from './claimKey.js'
import type { Claims, WonClaim } from './claims.js'
import { CLAIMS_FLUSH_MS, MAX_ABANDONED_CLAIMS } from './constants.js'
import { createClaimTailer } from './createClaimTailer.js'
import { createRecordBatcher } from './createRecordBatcher.js'

/** What claims work with. */
export interface ClaimsOptions {
  readonly settings: ResolvedSettings['claims']
  readonly log: LogClient
  readonly logger: ConsolaInstance
  /** Milliseconds since the epoch. */
  readonly now: () => number
}

/** One claim of this router. */
interface OwnClaim {
  readonly claimId: string
  readonly key: string
  readonly digest: string
}

type Decided = Result<HeldClaim, RequestFailure>

/** Starts following the claims stream and claiming on it. */
export function createClaims(options: ClaimsOptions): Claims {
  const { settings, log, logger, now } = options
  const table = createClaimTable(settings.maxClaims)
  const pending = new Map<string, (decided: Decided) => void>()
  const abandoned = new Set<string>()

  function release({ claimId, key }: Pick<OwnClaim, 'claimId' | 'key'>): void {
    batcher.add({ kind: ClaimRecordKind.Release, claimId, key })
  }

  function onDecision({ claimId, key, holder }: ClaimDecision): void {
    const settle = pending.get(claimId)
    if (settle) settle(ok(holder))
    else if (abandoned.delete(claimId) && holder.claimId === claimId)
      release({ claimId, key })
  }

  const batcher = createRecordBatcher({
    log,
    batchMs: settings.batchMs,
    onRefused: (claimId, reason) => {
      pending.get(claimId)?.(err(logFailure(reason)))
    },
  })
  const tailer = createClaimTailer({
    log,
    table,
    logger,
    onDecision,
    now,
    logRetentionMs: settings.logRetentionMs,
  })

  /** Gives up waiting; the claim is released should the log hold it. */
  function abandon(claimId: string): void {
    if (batcher.withdraw(claimId)) return
    abandoned.add(claimId)
    for (const oldest of abandoned) {
      if (abandoned.size <= MAX_ABANDONED_CLAIMS) return
      abandoned.delete(oldest)
    }
  }

  function decide(own: OwnClaim): Promise<Decided> {
    const { claimId } = own
    return new Promise((resolve) => {
      const settle = (decided: Decided): void => {
        clearTimeout(timer)
        pending.delete(claimId)
        resolve(decided)
      }
      const timer = setTimeout(() => {
        abandon(claimId)
        settle(err(logFailure('it did not answer in time')))
      }, settings.decideTimeoutMs)
      pending.set(claimId, settle)
      batcher.add({ kind: ClaimRecordKind.Claim, ...own })
    })
  }

  function checkWon(
    request: RoutedRequest,
    timeMs: number | undefined,
    held: HeldClaim,
  ): RequestFailure | undefined {
    if (request.signal.aborted) return abandonedFailure()
    if (timeMs === undefined) return undefined
    if (timeMs > held.atMs + MAX_KEY_SKEW_MS) return futureKeyFailure()
    if (!isKeyAfterHorizon(timeMs, table.horizonMs)) return oldKeyFailure()
    return undefined
  }

  function wonClaim({ claimId, key }: OwnClaim): WonClaim {
    const outcome = (status?: number): void => {
      batcher.add({ kind: ClaimRecordKind.Outcome, claimId, key, status })
    }
    return {
      recordStatus: outcome,
      recordFailure: (verdict) => {
        if (verdict === Verdict.NotRun) release({ claimId, key })
        else outcome()
      },
    }
  }

  async function claim(
    request: RoutedRequest,
    idempotencyKey: string,
  ): Promise<Result<WonClaim, RequestFailure>> {
    const timeMs = parseKeyTime(idempotencyKey)
    if (timeMs === undefined && !settings.acceptUndatedKeys)
      return err(undatedKeyFailure())
    const key = scopedKey(request, idempotencyKey)
    const digest = requestDigest(request)
    const known = table.find(key)
    if (known) return err(heldKeyFailure(known, digest))
    if (timeMs !== undefined && !isKeyAfterHorizon(timeMs, table.horizonMs))
      return err(oldKeyFailure())
    const own: OwnClaim = { claimId: randomUUID(), key, digest }
    const decided = await decide(own)
    if (decided.isErr()) return err(decided.error)
    const holder = decided.value
    if (holder.claimId !== own.claimId)
      return err(heldKeyFailure(holder, digest))
    const failure = checkWon(request, timeMs, holder)
    if (!failure) return ok(wonClaim(own))
    release(own)
    return err(failure)
  }

  return {
    claim,
    appendCounts: batcher.counts,
    stop: async () => {
      await batcher.stop(CLAIMS_FLUSH_MS)
      await tailer.stop()
    },
  }
}
