import { formatAddress, type ListenAddress } from '@auburnbay/http-utils'
import { type ReadyProcess, startProcess } from '@auburnbay/stand-ins'

/** Targets of one service of a sample. */
export interface SampleTargets {
  readonly service: string
  /** Kind of stand-in. */
  readonly standIn: 'engine' | 'plain-service'
  readonly count: number
}

/** A target's id, service and address. */
export interface StartedTarget {
  readonly id: string
  readonly service: string
  readonly address: string
}

/** The processes that stand in for the platform and the targets. */
export interface StandIns {
  readonly logService: string
  readonly vmList: string
  readonly targets: readonly StartedTarget[]
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

/** Starts log service, VM list and the targets of each service. */
export async function startStandIns(
  services: readonly SampleTargets[],
): Promise<StandIns> {
  const [logService, vmList] = await Promise.all([
    start('log-service'),
    start('vm-list'),
  ])
  const processes = [logService, vmList]
  const targets: StartedTarget[] = []
  for (const { service, standIn, count } of services) {
    const kinds = Array.from({ length: count }, () => standIn)
    const started = await Promise.all(kinds.map(start))
    processes.push(...started)
    for (const [index, { ready }] of started.entries()) {
      const address = formatAddress(ready.address)
      targets.push({ id: `${service}-${index + 1}`, service, address })
    }
  }
  return {
    logService: url(logService),
    vmList: url(vmList),
    targets,
    stop: async () => {
      await Promise.all(processes.map((process) => process.stop()))
    },
  }
}
