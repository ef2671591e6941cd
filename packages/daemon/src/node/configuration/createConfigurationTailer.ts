import {
  applyConfigurationRecord,
  CONFIGURATION_STREAM,
  type ConfigurationState,
  createConfigurationState,
  PatchOutcomeKind,
} from '@auburnbay/core'
import type { ConsolaInstance } from 'consola'
import { LOG_POLL_WAIT_MS, LOG_RETRY_MS } from '../constants.js'
import type { LogClient } from '../logService/logClient.js'
import { createLoop } from '../tasks/createLoop.js'

/** Follows the configuration stream and holds the version in force. */
export interface ConfigurationTailer {
  readonly state: ConfigurationState
  /** Whether the log answered the last read. */
  readonly connected: boolean
  stop(): Promise<void>
}

/** Starts following the configuration stream. */
export function createConfigurationTailer(
  log: LogClient,
  logger: ConsolaInstance,
): ConfigurationTailer {
  let state = createConfigurationState()
  let connected = false

  async function round(): Promise<void> {
    const page = await log.read(
      CONFIGURATION_STREAM,
      state.nextOffset,
      LOG_POLL_WAIT_MS,
    )
    if (page.isErr()) {
      if (connected) logger.warn(`Lost the log: ${page.error.message}.`)
      connected = false
      return
    }
    connected = true
    for (const record of page.value.records) {
      const step = applyConfigurationRecord(state, record.value, record.offset)
      state = step.state
      if (step.outcome?.kind === PatchOutcomeKind.Applied)
        logger.info(`Version ${state.version} is in force.`)
    }
  }

  async function roundWithRetry(): Promise<void> {
    await round()
    if (!connected)
      await new Promise((resolve) => setTimeout(resolve, LOG_RETRY_MS))
  }

  const loop = createLoop(roundWithRetry, 0, (error) => {
    logger.error(error)
  })
  return {
    get state() {
      return state
    },
    get connected() {
      return connected
    },
    stop: () => loop.stop(),
  }
}
