import { createHash, randomUUID } from 'node:crypto'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { ClaimRecordKind, createClaimTable } from '@auburnbay/core'
import { resolveTrialSettings } from './createTrialRouter.js'
import type { Figure } from '../figure.js'

const SAMPLE_CLAIMS = 50_000
const BYTES_PER_MB = 1_000_000
/** Memory budget of a node for control work, in megabytes. */
const MAX_CONTROL_MB = 32

function heapBytesAfterGc(): number {
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc') as () => void
  collectGarbage()
  return process.memoryUsage().heapUsed
}

function shortHash(text: string): string {
  return createHash('sha256').update(text).digest('base64url').slice(0, 22)
}

/** Measures the memory of a claim table that is full under the default settings. */
export function measureClaimMemory(): Figure[] {
  const table = createClaimTable(SAMPLE_CLAIMS)
  const before = heapBytesAfterGc()
  for (let offset = 0; offset < SAMPLE_CLAIMS; offset += 1) {
    const key = shortHash(`key ${offset}`)
    const digest = shortHash(`digest ${offset}`)
    const claimId = randomUUID()
    // Parsed as from a log page, so that records share no strings.
    const record: unknown = JSON.parse(
      JSON.stringify({ kind: ClaimRecordKind.Claim, claimId, key, digest }),
    )
    table.apply(record, offset, Date.now())
  }
  const bytes = (heapBytesAfterGc() - before) / table.size
  const { maxClaims } = resolveTrialSettings('router-1').claims
  return [
    { measure: 'once.claim-bytes', value: Math.round(bytes), unit: 'bytes' },
    {
      measure: 'once.claim-table',
      value: (bytes * maxClaims) / BYTES_PER_MB,
      unit: `MB for ${maxClaims} claims`,
      bound: MAX_CONTROL_MB,
    },
  ]
}
