import { formatAddress, type ListenAddress } from '@auburnbay/http-utils'
import { type ReadyProcess, startProcess } from './childProcess.js'
import type { NamedAddress } from './corribConfiguration.js'

/** The processes that stand in for the platform and the targets. */
export interface StandIns {
  readonly logService: string
  readonly vmList: string
  readonly engines: readonly NamedAddress[]
  readonly charts: readonly NamedAddress[]
  stop(): Promise<void>
}

interface Ready {
  readonly address: ListenAddress
}

const binUrl = new URL('bin.js', import.meta.resolve('@auburnbay/stand-ins'))

function start(kind: string): Promise<ReadyProcess<Ready>> {
  return startProcess<Ready>(binUrl.href, [kind])
}

function url(process: ReadyProcess<Ready>): string {
  return `http://${formatAddress(process.ready.address)}`
}

/** Starts log service, VM list, three engines and a plain service. */
export async function startStandIns(): Promise<StandIns> {
  const platform = [await start('log-service'), await start('vm-list')] as const
  const engines = await Promise.all(['engine', 'engine', 'engine'].map(start))
  const charts = [await start('plain-service')]
  const named =
    (prefix: string) => (p: ReadyProcess<Ready>, index: number) => ({
      id: `${prefix}-${index + 1}`,
      address: formatAddress(p.ready.address),
    })
  return {
    logService: url(platform[0]),
    vmList: url(platform[1]),
    engines: engines.map(named('engine')),
    charts: charts.map(named('charts')),
    stop: async () => {
      const all = [...platform, ...engines, ...charts]
      await Promise.all(all.map((process) => process.stop()))
    },
  }
}
