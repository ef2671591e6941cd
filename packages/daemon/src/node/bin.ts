#!/usr/bin/env node
import { boolean, command, flag, option, run, string } from 'cmd-ts'
import { createDaemon } from './createDaemon.js'
import { StopOutcome } from './stopping/stopOutcome.js'
import { loadSettings } from './settings/resolveSettings.js'

const EXIT_INVALID_SETTINGS = 2
const EXIT_FAILED = 1
/**
 * The router stopped, but requests that exceeded the drain timeout were
 * aborted.
 */
const EXIT_ABORTED = 3

async function start(path: string, checkOnly: boolean): Promise<void> {
  const settings = loadSettings(path)
  if (settings.isErr()) {
    for (const problem of settings.error)
      process.stderr.write(`[settings] ${problem.path}: ${problem.message}\n`)
    process.exitCode = EXIT_INVALID_SETTINGS
    return
  }
  if (checkOnly) {
    process.stdout.write('The settings are valid.\n')
    return
  }
  const daemon = await createDaemon(settings.value)
  process.send?.({ type: 'ready', addresses: daemon.addresses })
  const stop = (): void => {
    void daemon.stop().then(
      (outcome) =>
        process.exit(outcome === StopOutcome.Drained ? 0 : EXIT_ABORTED),
      () => process.exit(EXIT_FAILED),
    )
  }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
  process.on('SIGHUP', daemon.reloadCertificates)
}

const app = command({
  name: 'auburnbayd',
  description: 'Runs one router of the fleet.',
  args: {
    settings: option({
      long: 'settings',
      type: string,
      description: 'JSON settings file',
    }),
    checkSettings: flag({
      long: 'check-settings',
      type: boolean,
      description: 'check the settings and exit',
    }),
  },
  handler: ({ settings, checkSettings }) =>
    start(settings, checkSettings).catch((error: unknown) => {
      process.stderr.write(`[daemon] ${String(error)}\n`)
      process.exit(EXIT_FAILED)
    }),
})

await run(app, process.argv.slice(2))
