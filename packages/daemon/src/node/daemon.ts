import type { ListenAddress } from '@auburnbay/http-utils'
import type { SpanProcessor } from '@opentelemetry/sdk-trace-base'
import type { Admission } from './admission/admission.js'
import type { StopOutcome } from './stopping/stopOutcome.js'

/** Addresses on which a daemon listens. */
export interface DaemonAddresses {
  readonly callers: ListenAddress
  readonly peers: ListenAddress
  readonly admin: ListenAddress
}

/** Options for {@link createDaemon}. */
export interface DaemonOptions {
  /** Process spans in addition to the exporter of the settings. */
  readonly spanProcessors?: SpanProcessor[]
}

/** A running router. */
export interface Daemon {
  readonly addresses: DaemonAddresses
  /** Numbers of running and waiting requests. */
  readonly load: Pick<Admission, 'running' | 'waiting'>
  /**
   * Stops gracefully; aborts requests that exceed the drain timeout of the
   * settings.
   */
  stop(): Promise<StopOutcome>
  /** Reloads renewed certificates at once. */
  readonly reloadCertificates: () => void
}
