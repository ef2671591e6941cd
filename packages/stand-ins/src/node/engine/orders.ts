import { requestJson, sendJson } from '@auburnbay/http-utils'
import { setTimeout as sleep } from 'node:timers/promises'
import type { StandInRequest } from '../server/createStandIn.js'

/** How an engine's stand-in takes orders. */
export interface EngineOrderOptions {
  /** Refuses an order with a lower token than an earlier one. @default true */
  readonly checksFencing?: boolean
  /** Milliseconds that an order takes. @default 0 */
  readonly applyMs?: number
  /** Weight store that loads are read from; none by default. */
  readonly weightStoreUrl?: string
}

/** What an engine holds. */
export interface HeldState {
  readonly model: string
  readonly modelVersion: string
  readonly adapters: Readonly<Record<string, string>>
  readonly role: string
}

/** An order that an engine has applied. */
export interface AppliedOrder {
  readonly token: number
  readonly state: HeldState
  /** Requests in flight when it was applied. */
  readonly inFlight: number
}

/** The orders of one engine's stand-in. */
export interface EngineOrders {
  readonly state: HeldState
  readonly applied: readonly AppliedOrder[]
  /** Answers calls to `/orders/state`. */
  handle(call: StandInRequest, inFlight: number): Promise<void>
}

const WEIGHT_TIMEOUT_MS = 5_000

/** Path of the engine's state. */
export const ORDER_PATH = '/orders/state'

/** Creates the part of an engine's stand-in that takes orders. */
export function createEngineOrders(
  options: EngineOrderOptions = {},
): EngineOrders {
  const { checksFencing = true, applyMs = 0, weightStoreUrl } = options
  const applied: AppliedOrder[] = []
  let highestToken = -1
  let state: HeldState = {
    model: 'base',
    modelVersion: '1',
    adapters: {},
    role: 'mixed',
  }

  async function load(wanted: HeldState): Promise<boolean> {
    const isHeld =
      wanted.model === state.model && wanted.modelVersion === state.modelVersion
    if (weightStoreUrl === undefined || isHeld) return true
    const reply = await requestJson({
      method: 'GET',
      url: `${weightStoreUrl}/weights/${wanted.model}`,
      timeoutMs: WEIGHT_TIMEOUT_MS,
    })
    return reply.isOk() && reply.value.status === 200
  }

  async function apply(call: StandInRequest, inFlight: number): Promise<void> {
    const order = call.body as { token: number; state: HeldState }
    if (checksFencing && order.token < highestToken) {
      sendJson(call.res, 409, { error: 'old fencing token', highestToken })
      return
    }
    highestToken = Math.max(highestToken, order.token)
    if (applyMs > 0) await sleep(applyMs)
    if (!(await load(order.state))) {
      sendJson(call.res, 503, { error: 'the weight store refused' })
      return
    }
    state = order.state
    applied.push({ token: order.token, state, inFlight })
    sendJson(call.res, 200, state)
  }

  return {
    get state() {
      return state
    },
    applied,
    async handle(call, inFlight) {
      if (call.method === 'PUT') await apply(call, inFlight)
      else sendJson(call.res, 200, state)
    },
  }
}
