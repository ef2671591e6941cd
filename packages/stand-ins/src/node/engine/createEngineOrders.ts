import { requestJson, sendJson } from '@auburnbay/http-utils'
import { setTimeout as sleep } from 'node:timers/promises'
import type { StandInRequest } from '../server/createStandIn.js'

/** Options for {@link createEngineOrders}. */
export interface EngineOrderOptions {
  /** Whether orders with a lower fencing token than an earlier order are rejected. @default true */
  readonly checksFencing?: boolean
  /** Time that applying an order takes, in milliseconds. @default 0 */
  readonly applyMs?: number
  /** Weight store that models are loaded from; none by default. */
  readonly weightStoreUrl?: string
}

/** Model, adapters and role that an engine has loaded. */
export interface LoadedState {
  readonly model: string
  readonly modelVersion: string
  readonly adapters: Readonly<Record<string, string>>
  readonly role: string
}

/** An order that an engine has applied. */
export interface AppliedOrder {
  readonly token: number
  readonly state: LoadedState
  /** Requests in flight when it was applied. */
  readonly inFlight: number
}

/** State of an engine stand-in and the orders that it has applied. */
export interface EngineOrders {
  readonly state: LoadedState
  readonly applied: readonly AppliedOrder[]
  /** Handles requests to `/orders/state`. */
  handle(call: StandInRequest, inFlight: number): Promise<void>
}

const WEIGHT_TIMEOUT_MS = 5_000

/** Path for reading an engine's state and sending orders. */
export const ORDER_PATH = '/orders/state'

/** Creates the order handling of an engine stand-in. */
export function createEngineOrders(
  options: EngineOrderOptions = {},
): EngineOrders {
  const { checksFencing = true, applyMs = 0, weightStoreUrl } = options
  const applied: AppliedOrder[] = []
  let highestToken = -1
  let state: LoadedState = {
    model: 'base',
    modelVersion: '1',
    adapters: {},
    role: 'mixed',
  }

  async function loadWeights(desired: LoadedState): Promise<boolean> {
    const isLoaded =
      desired.model === state.model &&
      desired.modelVersion === state.modelVersion
    if (weightStoreUrl === undefined || isLoaded) return true
    const response = await requestJson({
      method: 'GET',
      url: `${weightStoreUrl}/weights/${desired.model}`,
      timeoutMs: WEIGHT_TIMEOUT_MS,
    })
    return response.isOk() && response.value.status === 200
  }

  async function applyOrder(
    call: StandInRequest,
    inFlight: number,
  ): Promise<void> {
    const order = call.body as { token: number; state: LoadedState }
    if (checksFencing && order.token < highestToken) {
      sendJson(call.res, 409, { error: 'old fencing token', highestToken })
      return
    }
    highestToken = Math.max(highestToken, order.token)
    if (applyMs > 0) await sleep(applyMs)
    if (!(await loadWeights(order.state))) {
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
      if (call.method === 'PUT') await applyOrder(call, inFlight)
      else sendJson(call.res, 200, state)
    },
  }
}
