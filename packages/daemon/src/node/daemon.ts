import type { ListenAddress } from '@auburnbay/http-utils'
import type { SpanProcessor } from '@opentelemetry/sdk-trace-base'
import type { Admission } from './admission/admission.js'
import type { StopOutcome } from './stopping/stopOutcome.js'

/** The addresses a daemon has taken. */
export interface DaemonAddresses {
  readonly callers: ListenAddress
  readonly peers: ListenAddress
  readonly admin: ListenAddress
}

/** Parts that replace or extend the daemon's own. */
export interface DaemonOptions {
  /** Take every span besides the exporter of the settings. */
  readonly spanProcessors?: SpanProcessor[]
}

/** A running router. */
export interface Daemon {
  readonly addresses: DaemonAddresses
  /** Requests that run and that wait. */
  readonly load: Pick<Admission, 'running' | 'waiting'>
  /** Stops gracefully; requests are cut off only beyond the settings' limit. */
  stop(): Promise<StopOutcome>
  /** Takes renewed certificates into use at once. */
  readonly reloadCertificates: () => void
}
