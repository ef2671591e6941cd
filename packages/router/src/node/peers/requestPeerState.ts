import { requestBytes } from '@auburnbay/http-utils/requestBytes'
import { statePath } from './createPeerStateServer.js'
import type { PeerAddress } from './peerAddress.js'
import {
  decodePeerState,
  type PeerState,
  type PeerStateQuery,
} from './peerState.js'

/** Timeout of a request for a peer's state, in milliseconds. */
export const STATE_TIMEOUT_MS = 800

/** Requests from a peer what this router lacks of its state; undefined without a valid response in time. */
export async function requestPeerState(
  { host, port }: PeerAddress,
  query: PeerStateQuery,
): Promise<PeerState | undefined> {
  const response = await requestBytes({
    url: `http://${host}:${port}${statePath(query)}`,
    method: 'GET',
    timeoutMs: STATE_TIMEOUT_MS,
  })
  return response.isOk() ? decodePeerState(response.value.body) : undefined
}
