import { withoutHeaders } from '@auburnbay/http-utils/withoutHeaders'
import { RELAY_HEADER, type RelayedRequest } from '../peers/relayedRequest.js'
import type { AdmittedRequest } from './admitRequest.js'

const RELAY_HEADERS = new Set([RELAY_HEADER])

/** Returns an admitted request as one that a peer relays. */
export function admitRelayed(
  admitted: AdmittedRequest,
  relayed: RelayedRequest,
): AdmittedRequest {
  const rawHeaders = withoutHeaders(admitted.rawHeaders, RELAY_HEADERS)
  return { ...admitted, rawHeaders, relayed }
}
