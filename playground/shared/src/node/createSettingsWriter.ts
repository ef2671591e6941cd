import { randomBytes } from 'node:crypto'
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { Settings } from '@auburnbay/daemon'

/** URLs of the stand-ins that a sample's routers use. */
export interface SampleUrls {
  readonly logService: string
  readonly vmList: string
}

/** Writes the settings files of a sample's routers. */
export interface SettingsWriter {
  /** Token of the sample's bootstrap owner. */
  readonly adminToken: string
  /** Writes the settings of a router and returns the path of the file. */
  write(id: string): string
}

const anyPort = { host: '127.0.0.1', port: 0 }

/** Creates a writer that completes the sample's settings with free ports, URLs and new secrets. */
export function createSettingsWriter(
  settingsFile: URL,
  urls: SampleUrls,
): SettingsWriter {
  const sample = JSON.parse(readFileSync(settingsFile, 'utf8')) as Settings
  const directory = mkdtempSync(join(tmpdir(), 'auburnbay-sample-'))
  const createSecret = (): string => randomBytes(16).toString('hex')
  const secrets = {
    peer: createSecret(),
    hint: createSecret(),
    admin: createSecret(),
  }
  return {
    adminToken: secrets.admin,
    write: (id) => {
      const settings: Settings = {
        ...sample,
        router: { ...sample.router, id },
        listen: { callers: anyPort, peers: anyPort, admin: anyPort },
        logService: { url: urls.logService },
        vmList: { ...sample.vmList, url: urls.vmList },
        secrets,
      }
      const path = join(directory, `${id}.json`)
      writeFileSync(path, JSON.stringify(settings, null, 2))
      return path
    },
  }
}
