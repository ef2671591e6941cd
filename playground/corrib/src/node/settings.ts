import { randomBytes } from 'node:crypto'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { Settings } from '@auburnbay/daemon'

/** URLs that the sample routers need. */
export interface SampleUrls {
  readonly logService: string
  readonly vmList: string
}

const anyPort = { host: '127.0.0.1', port: 0 }
const folder = mkdtempSync(join(tmpdir(), 'auburnbay-corrib-'))

/** Secrets that the sample routers share. */
export const sampleSecrets = {
  peer: randomBytes(16).toString('hex'),
  hint: randomBytes(16).toString('hex'),
  admin: randomBytes(16).toString('hex'),
}

/** Writes the settings file of one sample router and returns its path. */
export function writeRouterSettings(id: string, urls: SampleUrls): string {
  const settings: Settings = {
    router: { id, dataCentre: 'eu-west-1a' },
    listen: { callers: anyPort, peers: anyPort, admin: anyPort },
    logService: { url: urls.logService },
    vmList: { url: urls.vmList, pollMs: 100 },
    secrets: sampleSecrets,
    peers: { heartbeatMs: 100 },
    // Processes that have just started answer their first calls slowly.
    routing: { homeLimitMs: 500 },
    stopping: { balancerDelayMs: 100 },
  }
  const path = join(folder, `${id}.json`)
  writeFileSync(path, JSON.stringify(settings, null, 2))
  return path
}
