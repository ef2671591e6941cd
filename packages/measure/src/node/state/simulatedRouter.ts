import {
  restoreSnapshot,
  applyLogPage,
  chooseSnapshot,
  type ConfigurationState,
  createConfigurationState,
  createSnapshot,
  nextReadOffset,
} from '@auburnbay/core'
import type { FaultyLog } from './faultyLog.js'

/** Router that runs the configuration logic of core without I/O. */
export class SimulatedRouter {
  state: ConfigurationState = createConfigurationState()
  /** Number of times the version decreased. */
  reverts = 0
  /** Whether the router reaches neither the log nor its peers. */
  partitioned = false

  private applyState(state: ConfigurationState): void {
    if (state.version < this.state.version) this.reverts += 1
    this.state = state
  }

  /** Reads the log; restores a snapshot first if the state is empty or has a problem. */
  readLog(log: FaultyLog, snapshots: readonly unknown[]): void {
    if (this.partitioned) return
    if (this.state.version === 0 || this.state.problem) {
      const chosen = chooseSnapshot(this.state, log.logId, snapshots)
      if (chosen.state) this.applyState(chosen.state)
    }
    const page = log.read(nextReadOffset(this.state))
    this.applyState(applyLogPage(this.state, page).state)
  }

  /** Adopts a peer's state if it is newer and from the same log, or if this router has none. */
  fetchFrom(peer: SimulatedRouter): void {
    if (this.partitioned || peer.partitioned) return
    const isSameLog = this.state.logId === peer.state.logId
    const isBehind = peer.state.nextOffset > this.state.nextOffset
    if (this.state.version > 0 && !(isSameLog && isBehind)) return
    const restored = restoreSnapshot(this.state, createSnapshot(peer.state))
    if (restored.isOk()) this.applyState(restored.value)
  }
}

/** Baseline: a router that accepts the log without checks. */
export class NaiveRouter {
  state: ConfigurationState = createConfigurationState()
  /** Number of times the version decreased. */
  reverts = 0

  /** Reads the log; starts from an empty state if the log was replaced or shortened. */
  readLog(log: FaultyLog): void {
    const { logId, nextOffset, version } = this.state
    const isReplaced = logId !== undefined && logId !== log.logId
    if (isReplaced || log.nextOffset < nextOffset)
      this.state = createConfigurationState()
    const page = log.read(nextReadOffset(this.state))
    const acceptedPage = { ...page, firstOffset: 0 }
    this.state = applyLogPage(this.state, acceptedPage).state
    if (this.state.version < version) this.reverts += 1
  }
}
