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

/** A router that follows the configuration by the decision logic alone. */
export class ScheduledRouter {
  state: ConfigurationState = createConfigurationState()
  /** Times that its version went back. */
  reverts = 0
  /** Whether neither log nor peers reach it. */
  parted = false

  private take(state: ConfigurationState): void {
    if (state.version < this.state.version) this.reverts += 1
    this.state = state
  }

  /** Reads the log, and its snapshots where records are missing. */
  readLog(log: FaultyLog, snapshots: readonly unknown[]): void {
    if (this.parted) return
    if (this.state.version === 0 || this.state.problem) {
      const chosen = chooseSnapshot(this.state, log.logId, snapshots)
      if (chosen.state) this.take(chosen.state)
    }
    const page = log.read(nextReadOffset(this.state))
    this.take(applyLogPage(this.state, page).state)
  }

  /** Takes a peer's state over, where that does not lead back. */
  follow(peer: ScheduledRouter): void {
    if (this.parted || peer.parted) return
    const isSameLog = this.state.logId === peer.state.logId
    const isBehind = peer.state.nextOffset > this.state.nextOffset
    if (this.state.version > 0 && !(isSameLog && isBehind)) return
    const adopted = restoreSnapshot(this.state, createSnapshot(peer.state))
    if (adopted.isOk()) this.take(adopted.value)
  }
}

/** A router that takes whatever the log holds. */
export class NaiveRouter {
  state: ConfigurationState = createConfigurationState()
  reverts = 0

  /** Starts over when the log is another one or is shorter. */
  readLog(log: FaultyLog): void {
    const { logId, nextOffset, version } = this.state
    const isOther = logId !== undefined && logId !== log.logId
    if (isOther || log.nextOffset < nextOffset)
      this.state = createConfigurationState()
    const page = log.read(nextReadOffset(this.state))
    const usable = { ...page, firstOffset: 0 }
    this.state = applyLogPage(this.state, usable).state
    if (this.state.version < version) this.reverts += 1
  }
}
