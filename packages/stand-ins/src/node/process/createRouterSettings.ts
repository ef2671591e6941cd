import type { StandIn } from '../server/standIn.js'

/** What the settings of a router on stand-ins are made for. */
export interface RouterSettingsOptions {
  readonly id: string
  readonly log: Pick<StandIn, 'url'>
  readonly vmList: Pick<StandIn, 'url'>
  /** Begins the secrets: what the router serves. @default 'test' */
  readonly purpose?: string
}

/** Returns the secrets of routers that serve `purpose`. */
export function createRouterSecrets(purpose: string) {
  return {
    peer: `${purpose}-peer-secret-0123456789`,
    hint: `${purpose}-hint-secret-0123456789`,
    admin: `${purpose}-admin-token-0123456789`,
  }
}

/** Returns settings of a quiet router on free ports that stops at once. */
export function createRouterSettings(options: RouterSettingsOptions) {
  const { id, log, vmList, purpose = 'test' } = options
  const anyPort = { host: '127.0.0.1', port: 0 }
  return {
    router: { id, dataCentre: 'dc-1' },
    listen: { callers: anyPort, peers: anyPort, admin: anyPort },
    logService: { url: log.url },
    vmList: { url: vmList.url },
    secrets: createRouterSecrets(purpose),
    logs: { level: 0 },
    stopping: { balancerDelayMs: 0 },
  }
}
