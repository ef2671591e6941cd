import type { PeerConfiguration, PeerReaderStatus } from '@auburnbay/core'

/** A live peer and the configuration state that it reports. */
export interface ConfigurationPeer extends PeerConfiguration, PeerReaderStatus {
  /** Host and port of its peer listener. */
  readonly address?: string
}
