import { type EngineState, engineStateSchema } from '@auburnbay/core'
import { requestJson } from '@auburnbay/http-utils'
import { z } from 'zod'
import { ORDER_READ_TIMEOUT_MS, ORDER_SEND_TIMEOUT_MS } from './constants.js'

const loadSchema = z.object({ inFlight: z.number().min(0) })

const ORDER_PATH = '/orders/state'

/** Reads an engine's state; undefined when it does not respond. */
export async function readEngineState(
  address: string,
): Promise<EngineState | undefined> {
  const response = await requestJson({
    method: 'GET',
    url: `http://${address}${ORDER_PATH}`,
    timeoutMs: ORDER_READ_TIMEOUT_MS,
  })
  const parsed = engineStateSchema.safeParse(
    response.isOk() && response.value.body,
  )
  return parsed.success ? parsed.data : undefined
}

/** Reads an engine's requests in flight; undefined when it does not respond. */
export async function readEngineLoad(
  address: string,
): Promise<number | undefined> {
  const response = await requestJson({
    method: 'GET',
    url: `http://${address}/load`,
    timeoutMs: ORDER_READ_TIMEOUT_MS,
  })
  const parsed = loadSchema.safeParse(response.isOk() && response.value.body)
  return parsed.success ? parsed.data.inFlight : undefined
}

/** Sends the complete state; only reading it back shows whether it was applied. */
export async function sendEngineState(
  address: string,
  token: number,
  state: EngineState,
): Promise<void> {
  await requestJson({
    method: 'PUT',
    url: `http://${address}${ORDER_PATH}`,
    body: { token, state },
    timeoutMs: ORDER_SEND_TIMEOUT_MS,
  })
}
