import type { ListenAddress } from '@auburnbay/http-utils'
import type { Admission } from './admission/admission.js'
import type { StopOutcome } from './stopping/stopOutcome.js'

/** The addresses a daemon has taken. */
export interface DaemonAddresses {
  readonly callers: ListenAddress
  readonly peers: ListenAddress
  readonly admin: ListenAddress
}

/** A running router. */
export interface Daemon {
  readonly addresses: DaemonAddresses
  /** Requests that run and that wait. */
  readonly load: Pick<Admission, 'running' | 'waiting'>
  /** Stops gracefully; requests are cut off only beyond the settings' limit. */
  stop(): Promise<StopOutcome>
}
