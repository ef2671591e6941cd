import { type ChildProcess, fork } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { DaemonAddresses, Settings } from '@auburnbay/daemon'

/** A router in its own process. */
export interface RouterProcess {
  readonly id: string
  readonly addresses: DaemonAddresses
  readonly child: ChildProcess
  /** Resolves with the exit code, or null after a signal. */
  readonly exited: Promise<number | null>
}

const daemonUrl = new URL('bin.js', import.meta.resolve('@auburnbay/daemon'))

/** Starts `auburnbayd` and waits until it listens. */
export async function forkRouter(settings: Settings): Promise<RouterProcess> {
  const { id } = settings.router
  const directory = mkdtempSync(join(tmpdir(), 'auburnbay-measure-'))
  const path = join(directory, `${id}.json`)
  writeFileSync(path, JSON.stringify(settings))
  const child = fork(fileURLToPath(daemonUrl), ['--settings', path])
  const exited = once(child, 'exit').then(([code]) => code as number | null)
  const [message] = (await once(child, 'message')) as [
    { addresses: DaemonAddresses },
  ]
  return { id, addresses: message.addresses, child, exited }
}
