import { statSync } from 'node:fs'
import { performance } from 'node:perf_hooks'
import process from 'node:process'
import { createExceptionLimit } from './createExceptionLimit.js'
import { createRouter, type Router } from './createRouter.js'
import { createDecisionLog } from './logging/createDecisionLog.js'
import { LogEvent } from './logging/logEvent.js'
import type { CreatePorts } from './routerPorts.js'
import { readSettings } from './settings/readSettings.js'

/** Interval of the check for a changed settings file, in milliseconds. */
const SETTINGS_CHECK_MS = 2_000

function modifiedAtMs(path: string): number {
  try {
    return statSync(path).mtimeMs
  } catch {
    // The file is being replaced; the next check finds it.
    return 0
  }
}

/** Runs a router until SIGTERM; reloads the settings on SIGHUP and when the file changes. */
export async function runRouter(
  settingsPath: string,
  createPorts: CreatePorts,
): Promise<void> {
  const settings = readSettings(settingsPath)
  if (settings.isErr()) {
    process.stderr.write(`${settings.error}\n`)
    process.exit(1)
  }
  const log = createDecisionLog(settings.value.router.id)
  const ports = createPorts(settings.value.logService, log)
  const started: { router?: Router } = {}
  const isWithinLimit = createExceptionLimit(() => performance.now())
  process.on('uncaughtException', (error) => {
    log.write(LogEvent.Failed, { reason: error.stack ?? error.message })
    // The other requests go on; the one that failed ends at its deadline.
    if (started.router && isWithinLimit()) {
      started.router.metrics.recordException()
      return
    }
    log.close()
    process.exit(1)
  })
  const router = await createRouter(settings.value, ports, log)
  started.router = router

  function reload(): void {
    const changed = readSettings(settingsPath)
    if (changed.isOk()) router.reload(changed.value)
    else log.write(LogEvent.SettingsRejected, { reason: changed.error })
  }

  let lastModifiedMs = modifiedAtMs(settingsPath)
  setInterval(() => {
    const modifiedMs = modifiedAtMs(settingsPath)
    if (modifiedMs === lastModifiedMs) return
    lastModifiedMs = modifiedMs
    reload()
  }, SETTINGS_CHECK_MS).unref()
  process.on('SIGHUP', reload)
  process.on('SIGTERM', () => {
    void router.stop().then(() => {
      log.close()
      process.exit(0)
    })
  })
}
