import { type ListenAddress, sendJson } from '@auburnbay/http-utils'
import { createStandIn } from '../server/createStandIn.js'
import type { StandIn } from '../server/standIn.js'

/** Entry of the VM list. */
export interface ListedVm {
  readonly id: string
  readonly role: 'router' | 'target'
  readonly address: string
  readonly dataCentre: string
  readonly state: 'live' | 'leaving'
}

/** Stand-in for the VM list. */
export interface VmListStandIn extends StandIn {
  /** Entries of the list; may be changed at any time. */
  vms: ListedVm[]
  /** Whether every read of the list fails with 503. */
  outage: boolean
}

/** Starts a stand-in for the platform's VM list. */
export async function createVmList(
  address?: ListenAddress,
): Promise<VmListStandIn> {
  const state = { vms: [] as ListedVm[], outage: false }
  const standIn = await createStandIn(({ method, url, res, body }) => {
    if (url.pathname !== '/vms') sendJson(res, 404, { error: 'unknown path' })
    else if (method === 'PUT') {
      state.vms = body as ListedVm[]
      sendJson(res, 200, state.vms)
    } else if (state.outage) sendJson(res, 503, { error: 'the list is down' })
    else sendJson(res, 200, state.vms)
  }, address)
  return Object.assign(state, standIn)
}
