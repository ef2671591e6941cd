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
  deadlinePassedFailure,
  futureKeyFailure,
  heldKeyFailure,
  logUnavailableFailure,
  oldKeyFailure,
  undatedKeyFailure,
} from './claimFailures.js'
import { requestDigest, scopedKey } from './claimKey.js'
import type { Claims, WonClaim } from './claims.js'
import { CLAIMS_FLUSH_TIMEOUT_MS, MAX_ABANDONED_CLAIMS } from './constants.js'
import { createClaimTailer } from './createClaimTailer.js'
import { createRecordBatcher } from './createRecordBatcher.js'

/** Options for {@link createClaims}. */
export interface ClaimsOptions {
  readonly settings: ResolvedSettings['claims']
  readonly log: LogClient
  readonly logger: ConsolaInstance
  /** Milliseconds since the epoch. */
  readonly epochNow: () => number
}

/** A claim made by this router. */
interface OwnClaim {
  readonly claimId: string
  readonly key: string
  readonly digest: string
}

type ClaimResult = Result<HeldClaim, RequestFailure>

/** Starts reading the claims stream and claiming keys through it. */
export function createClaims(options: ClaimsOptions): Claims {
  const { settings, log, logger, epochNow } = options
  const table = createClaimTable(settings.maxClaims)
  const pendingClaims = new Map<string, (result: ClaimResult) => void>()
  const abandonedClaims = new Set<string>()

  function release({ claimId, key }: Pick<OwnClaim, 'claimId' | 'key'>): void {
    batcher.add({ kind: ClaimRecordKind.Release, claimId, key })
  }

  function onDecision({ claimId, key, holder }: ClaimDecision): void {
    const settle = pendingClaims.get(claimId)
    if (settle) settle(ok(holder))
    else if (abandonedClaims.delete(claimId) && holder.claimId === claimId)
      release({ claimId, key })
  }

  const batcher = createRecordBatcher({
    log,
    batchMs: settings.batchMs,
    onNotAppended: (claimId, reason) => {
      pendingClaims.get(claimId)?.(err(logUnavailableFailure(reason)))
    },
  })
  const tailer = createClaimTailer({
    log,
    table,
    logger,
    onDecision,
    epochNow,
    logRetentionMs: settings.logRetentionMs,
  })

  /** Stops waiting for a decision; a claim that wins later is released. */
  function abandon(claimId: string): void {
    if (batcher.withdraw(claimId)) return
    abandonedClaims.add(claimId)
    for (const oldest of abandonedClaims) {
      if (abandonedClaims.size <= MAX_ABANDONED_CLAIMS) return
      abandonedClaims.delete(oldest)
    }
  }

  function requestClaim(ownClaim: OwnClaim): Promise<ClaimResult> {
    const { claimId } = ownClaim
    return new Promise((resolve) => {
      const settle = (result: ClaimResult): void => {
        clearTimeout(timer)
        pendingClaims.delete(claimId)
        resolve(result)
      }
      const timer = setTimeout(() => {
        abandon(claimId)
        settle(err(logUnavailableFailure('it did not answer in time')))
      }, settings.decideTimeoutMs)
      pendingClaims.set(claimId, settle)
      batcher.add({ kind: ClaimRecordKind.Claim, ...ownClaim })
    })
  }

  function validateWonClaim(
    request: RoutedRequest,
    keyTimeMs: number | undefined,
    held: HeldClaim,
  ): RequestFailure | undefined {
    if (request.signal.aborted) return deadlinePassedFailure()
    if (keyTimeMs === undefined) return undefined
    if (keyTimeMs > held.atMs + MAX_KEY_SKEW_MS) return futureKeyFailure()
    if (!isKeyAfterHorizon(keyTimeMs, table.horizonMs)) return oldKeyFailure()
    return undefined
  }

  function createWonClaim({ claimId, key }: OwnClaim): WonClaim {
    const recordOutcome = (status?: number): void => {
      batcher.add({ kind: ClaimRecordKind.Outcome, claimId, key, status })
    }
    return {
      recordStatus: recordOutcome,
      recordFailure: (verdict) => {
        if (verdict === Verdict.NotRun) release({ claimId, key })
        else recordOutcome()
      },
    }
  }

  async function claim(
    request: RoutedRequest,
    idempotencyKey: string,
  ): Promise<Result<WonClaim, RequestFailure>> {
    const keyTimeMs = parseKeyTime(idempotencyKey)
    if (keyTimeMs === undefined && !settings.acceptUndatedKeys)
      return err(undatedKeyFailure())
    const key = scopedKey(request, idempotencyKey)
    const digest = requestDigest(request)
    const existing = table.find(key)
    if (existing) return err(heldKeyFailure(existing, digest))
    if (
      keyTimeMs !== undefined &&
      !isKeyAfterHorizon(keyTimeMs, table.horizonMs)
    )
      return err(oldKeyFailure())
    const ownClaim: OwnClaim = { claimId: randomUUID(), key, digest }
    const result = await requestClaim(ownClaim)
    if (result.isErr()) return err(result.error)
    const holder = result.value
    if (holder.claimId !== ownClaim.claimId)
      return err(heldKeyFailure(holder, digest))
    const failure = validateWonClaim(request, keyTimeMs, holder)
    if (!failure) return ok(createWonClaim(ownClaim))
    release(ownClaim)
    return err(failure)
  }

  return {
    claim,
    appendCounts: batcher.appendCounts,
    stop: async () => {
      await batcher.stop(CLAIMS_FLUSH_TIMEOUT_MS)
      await tailer.stop()
    },
  }
}
