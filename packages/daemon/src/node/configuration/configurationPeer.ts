import type { PeerConfiguration, PeerReaderStatus } from '@auburnbay/core'

/** A live peer and what it says of its configuration. */
export interface ConfigurationPeer extends PeerConfiguration, PeerReaderStatus {
  /** Host and port of its peer listener. */
  readonly address?: string
}
