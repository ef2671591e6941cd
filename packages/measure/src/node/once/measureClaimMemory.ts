import { createHash, randomUUID } from 'node:crypto'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { ClaimRecordKind, createClaimTable } from '@auburnbay/core'
import { resolveTrialSettings } from './createRouter.js'
import type { Figure } from '../figure.js'

const CLAIMS = 50_000
const BYTES_PER_MB = 1_000_000
/** Memory that a node may spend on control, in megabytes. */
const CONTROL_MB = 32

function usedBytes(): number {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  collect()
  return process.memoryUsage().heapUsed
}

function hashed(text: string): string {
  return createHash('sha256').update(text).digest('base64url').slice(0, 22)
}

/** Memory of the claims that a router remembers with the default settings. */
export function measureClaimMemory(): Figure[] {
  const table = createClaimTable(CLAIMS)
  const before = usedBytes()
  for (let offset = 0; offset < CLAIMS; offset += 1) {
    const key = hashed(`key ${offset}`)
    const digest = hashed(`digest ${offset}`)
    const claimId = randomUUID()
    // As parsed from a page, so that no string is shared.
    const record: unknown = JSON.parse(
      JSON.stringify({ kind: ClaimRecordKind.Claim, claimId, key, digest }),
    )
    table.apply(record, offset, Date.now())
  }
  const bytes = (usedBytes() - before) / table.size
  const { maxClaims } = resolveTrialSettings('router-1').claims
  return [
    { measure: 'once.claim-bytes', value: Math.round(bytes), unit: 'bytes' },
    {
      measure: 'once.claim-table',
      value: (bytes * maxClaims) / BYTES_PER_MB,
      unit: `MB for ${maxClaims} claims`,
      bound: CONTROL_MB,
    },
  ]
}
