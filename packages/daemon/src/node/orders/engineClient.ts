import { type EngineState, engineStateSchema } from '@auburnbay/core'
import { requestJson } from '@auburnbay/http-utils'
import { z } from 'zod'
import { ORDER_READ_TIMEOUT_MS, ORDER_SEND_TIMEOUT_MS } from './constants.js'

const loadSchema = z.object({ inFlight: z.number().min(0) })

const ORDER_PATH = '/orders/state'

/** Reads what an engine holds; undefined when it does not answer. */
export async function readEngineState(
  address: string,
): Promise<EngineState | undefined> {
  const reply = await requestJson({
    method: 'GET',
    url: `http://${address}${ORDER_PATH}`,
    timeoutMs: ORDER_READ_TIMEOUT_MS,
  })
  const parsed = engineStateSchema.safeParse(reply.isOk() && reply.value.body)
  return parsed.success ? parsed.data : undefined
}

/** Reads an engine's requests in flight; undefined when it does not answer. */
export async function readEngineLoad(
  address: string,
): Promise<number | undefined> {
  const reply = await requestJson({
    method: 'GET',
    url: `http://${address}/load`,
    timeoutMs: ORDER_READ_TIMEOUT_MS,
  })
  const parsed = loadSchema.safeParse(reply.isOk() && reply.value.body)
  return parsed.success ? parsed.data.inFlight : undefined
}

/** Sends the whole state; whether it holds is only known by reading it. */
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
