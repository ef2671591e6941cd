import type { Agent } from 'node:http'
import { requestJson } from '@auburnbay/http-utils'
import { type VmEntry, vmListSchema } from '@auburnbay/core'
import type { ConsolaInstance } from 'consola'
import { VM_LIST_TIMEOUT_MS } from '../constants.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import { createLoop } from '../tasks/createLoop.js'

/** Polls the platform's VM list and keeps the last one read. */
export interface VmListPoller {
  readonly vms: readonly VmEntry[]
  stop(): Promise<void>
}

/** Starts polling the VM list. */
export function createVmListPoller(
  settings: ResolvedSettings['vmList'],
  logger: ConsolaInstance,
  agent?: Agent,
): VmListPoller {
  let vms: VmEntry[] = []

  async function round(): Promise<void> {
    const reply = await requestJson({
      method: 'GET',
      url: `${settings.url}/vms`,
      timeoutMs: VM_LIST_TIMEOUT_MS,
      agent,
    })
    const parsed = vmListSchema.safeParse(reply.isOk() && reply.value.body)
    if (parsed.success) vms = parsed.data
    else logger.warn('The VM list did not answer; keeping the last one.')
  }

  const loop = createLoop(round, settings.pollMs, (error) => {
    logger.error(error)
  })
  return {
    get vms() {
      return vms
    },
    stop: () => loop.stop(),
  }
}
