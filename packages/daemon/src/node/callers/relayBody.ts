import type { ServerResponse } from 'node:http'
import type { TargetResponse } from '../targets/targetResponse.js'
import { writeToCaller } from './writeToCaller.js'

/** Whether nothing but the end of the connection ends an answer's body. */
export function endsWithConnection(
  method: string,
  reply: Pick<TargetResponse, 'status' | 'headers'>,
): boolean {
  const { status, headers } = reply
  if (method === 'HEAD' || status === 204 || status === 304) return false
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  )
}

/** Passes a body on as it comes; throws when it is cut. */
export async function relayBody(
  res: ServerResponse,
  reply: TargetResponse,
): Promise<void> {
  for await (const chunk of reply.chunks()) await writeToCaller(res, chunk)
  if (!reply.body.complete) throw new Error('the answer of the target was cut')
  res.end()
}
