import type { StandIn } from '../server/standIn.js'

/** Options for {@link createRouterSettings}. */
export interface RouterSettingsOptions {
  readonly id: string
  readonly log: Pick<StandIn, 'url'>
  readonly vmList: Pick<StandIn, 'url'>
  /** What the router is used for; prefix of its secrets. @default 'test' */
  readonly purpose?: string
}

/** Creates the secrets of routers that are used for `purpose`. */
export function createRouterSecrets(purpose: string) {
  return {
    peer: `${purpose}-peer-secret-0123456789`,
    hint: `${purpose}-hint-secret-0123456789`,
    admin: `${purpose}-admin-token-0123456789`,
  }
}

/** Creates settings of a router on free ports, with minimal logging and no balancer delay. */
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
