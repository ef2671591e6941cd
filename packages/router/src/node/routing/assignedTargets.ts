import { rendezvousOrder } from '@auburnbay/core/routing/rendezvousOrder'
import type { Target } from '../targets/target.js'

/** Returns the targets that `router` asks for their cached prompts, so that each is asked by one router only. */
export function assignedTargets(
  router: string,
  routers: readonly string[],
  targets: readonly Target[],
): Target[] {
  const candidates = [...new Set([router, ...routers])].map((id) => ({
    id,
    weight: 1,
  }))
  return targets.filter(
    ({ id }) => rendezvousOrder(id, candidates)[0]?.id === router,
  )
}
