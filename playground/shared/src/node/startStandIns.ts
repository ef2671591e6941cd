import { formatAddress, type ListenAddress } from '@auburnbay/http-utils'
import { type ReadyProcess, startProcess } from '@auburnbay/stand-ins'

/** Targets of one service of a sample. */
export interface SampleTargets {
  readonly service: string
  /** Kind of stand-in that serves as target. */
  readonly standIn: 'engine' | 'plain-service'
  readonly count: number
}

/** A target that a stand-in process serves. */
export interface StartedTarget {
  readonly id: string
  readonly service: string
  readonly address: string
}

/** Stand-in processes for the platform and the targets. */
export interface StandIns {
  /** Base URL of the log service. */
  readonly logService: string
  /** Base URL of the VM list. */
  readonly vmList: string
  readonly targets: readonly StartedTarget[]
  stop(): Promise<void>
}

interface ReadyMessage {
  readonly address: ListenAddress
}

const binUrl = new URL('bin.js', import.meta.resolve('@auburnbay/stand-ins'))

function startStandIn(kind: string): Promise<ReadyProcess<ReadyMessage>> {
  return startProcess<ReadyMessage>(binUrl.href, [kind])
}

function baseUrl({ ready }: ReadyProcess<ReadyMessage>): string {
  return `http://${formatAddress(ready.address)}`
}

/** Starts stand-ins for the log service, the VM list and the targets of each service. */
export async function startStandIns(
  services: readonly SampleTargets[],
): Promise<StandIns> {
  const [logService, vmList] = await Promise.all([
    startStandIn('log-service'),
    startStandIn('vm-list'),
  ])
  const processes = [logService, vmList]
  const targets: StartedTarget[] = []
  for (const { service, standIn, count } of services) {
    const kinds = Array.from({ length: count }, () => standIn)
    const started = await Promise.all(kinds.map(startStandIn))
    processes.push(...started)
    for (const [index, { ready }] of started.entries()) {
      const address = formatAddress(ready.address)
      targets.push({ id: `${service}-${index + 1}`, service, address })
    }
  }
  return {
    logService: baseUrl(logService),
    vmList: baseUrl(vmList),
    targets,
    stop: async () => {
      await Promise.all(processes.map((process) => process.stop()))
    },
  }
}
