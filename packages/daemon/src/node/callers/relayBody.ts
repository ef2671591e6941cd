import type { ServerResponse } from 'node:http'
import type { TargetResponse } from '../targets/targetResponse.js'
import { writeToCaller } from './writeToCaller.js'

/** Whether only the end of the connection delimits the body of a response. */
export function isCloseDelimited(
  method: string,
  response: Pick<TargetResponse, 'status' | 'headers'>,
): boolean {
  const { status, headers } = response
  if (method === 'HEAD' || status === 204 || status === 304) return false
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  )
}

/** Streams a body to the caller; throws when it is truncated. */
export async function relayBody(
  res: ServerResponse,
  response: TargetResponse,
): Promise<void> {
  for await (const chunk of response.chunks()) await writeToCaller(res, chunk)
  if (!response.body.complete)
    throw new Error('the response of the target was truncated')
  res.end()
}
