import { type ListenAddress, sendJson } from '@auburnbay/http-utils'
import { createStandIn } from '../server/createStandIn.js'
import type { StandIn } from '../server/standIn.js'

/** One VM as the list shows it. */
export interface ListedVm {
  readonly id: string
  readonly role: 'router' | 'target'
  readonly address: string
  readonly dataCentre: string
  readonly state: 'live' | 'leaving'
}

/** The VM list's stand-in. */
export interface VmListStandIn extends StandIn {
  /** What the list shows; change it at will. */
  vms: ListedVm[]
  /** Whether every call fails with 503. */
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
