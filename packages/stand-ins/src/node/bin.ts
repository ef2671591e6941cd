import { createEngine } from './engine/createEngine.js'
import { createLogService } from './logService/createLogService.js'
import { createPlainService } from './plainService/createPlainService.js'
import type { StandIn } from './server/standIn.js'
import { createVmList } from './vmList/createVmList.js'

const kind = process.argv[2]

function startStandIn(): Promise<StandIn> {
  switch (kind) {
    case 'log-service':
      return createLogService()
    case 'vm-list':
      return createVmList()
    case 'engine':
      return createEngine({ wordDelayMs: 5 })
    case 'plain-service':
      return createPlainService()
    default:
      throw new Error(
        `unknown stand-in ${String(kind)}: expected log-service, vm-list, engine or plain-service`,
      )
  }
}

const standIn = await startStandIn()
process.send?.({ type: 'ready', address: standIn.address })
process.once('SIGTERM', () => {
  void standIn.close().then(() => process.exit(0))
})
process.once('disconnect', () => process.exit(0))
