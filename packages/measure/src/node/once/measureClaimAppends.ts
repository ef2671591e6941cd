import { setTimeout as sleep } from 'node:timers/promises'
import { ServiceKind } from '@auburnbay/core'
import { createClaims, createLogClient, createLogs } from '@auburnbay/daemon'
import { createLogService } from '@auburnbay/stand-ins'
import type { Figure } from '../figure.js'
import { resolveTrialSettings } from './createTrialRouter.js'

const ROUTERS = 9
/** Appends per second that the log service accepts from all of its clients together. */
const LOG_APPENDS_PER_S = 300
const ROUNDS = 100
const ROUND_MS = 10
const CLAIMS_PER_ROUND = 10

function createRequest(number: number) {
  return {
    id: `request-${number}`,
    customer: 'corrib',
    service: 'charts',
    serviceKind: ServiceKind.Plain,
    chat: '',
    requestKind: '',
    rank: 5,
    idempotent: false,
    method: 'POST',
    path: '/notices',
    headers: {},
    body: Buffer.from(`notice ${number}`),
    signal: new AbortController().signal,
  }
}

/** Measures the appends of one router under a steady stream of claims. */
export async function measureClaimAppends(): Promise<Figure[]> {
  const log = await createLogService()
  const settings = resolveTrialSettings('router-1')
  const logs = createLogs(settings.logs)
  const claims = createClaims({
    settings: settings.claims,
    log: createLogClient(log.url),
    logger: logs.forComponent('claims'),
    epochNow: Date.now,
  })
  const startedMs = performance.now()
  const results: Promise<boolean>[] = []
  for (let round = 0; round < ROUNDS; round += 1) {
    for (let index = 0; index < CLAIMS_PER_ROUND; index += 1) {
      const number = round * CLAIMS_PER_ROUND + index
      const key = `${Date.now()}.${number}`
      const claimed = claims.claim(createRequest(number), key)
      results.push(claimed.then((result) => result.isOk()))
    }
    await sleep(ROUND_MS)
  }
  const won = (await Promise.all(results)).filter(Boolean).length
  const seconds = (performance.now() - startedMs) / 1_000
  const { appends, records } = claims.appendCounts
  await Promise.all([claims.stop(), log.close()])
  return [
    {
      measure: 'once.claim-appends',
      value: appends / seconds,
      unit: 'appends a second of one router',
      bound: LOG_APPENDS_PER_S / ROUTERS,
      timing: true,
    },
    {
      measure: 'once.claims-per-append',
      value: records / appends,
      unit: `claims, ${won} of ${results.length} won`,
      timing: true,
    },
  ]
}
