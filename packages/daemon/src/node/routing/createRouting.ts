import {
  chooseTarget,
  type Configuration,
  FailureCode,
  loadBound,
  type LoadedTarget,
  MemberState,
  rendezvousOrder,
  type VmEntry,
} from '@auburnbay/core'
import { err, ok } from 'neverthrow'
import { createFailure } from '../callers/createFailure.js'
import type { LoadReporter } from '../targets/createLoadReporter.js'
import type { Placement, Routing, TargetStatus } from './routing.js'
import { HintSource } from './routingExplanation.js'

/** What the choice of targets works with. */
export interface RoutingOptions {
  readonly configuration: () => Configuration
  readonly vms: () => readonly VmEntry[]
  readonly reporter: LoadReporter
  /** Whether a target's health lets a request go there. */
  readonly eligible: (targetId: string, idempotent: boolean) => boolean
}

interface RoutedTarget extends LoadedTarget {
  readonly service: string
  readonly address: string
}

const RETRY_AFTER_S = 1

/** Creates routing by bounded weighted rendezvous hashing. */
export function createRouting(options: RoutingOptions): Routing {
  const ownInFlight = new Map<string, number>()

  function load(id: string): number {
    const reported = options.reporter.report(id)?.inFlight ?? 0
    return Math.max(reported, ownInFlight.get(id) ?? 0)
  }

  function targetsOf(service: string): RoutedTarget[] {
    const leaving = new Set<string>()
    for (const vm of options.vms())
      if (vm.state === MemberState.Leaving) leaving.add(vm.id)
    const found: RoutedTarget[] = []
    const { targets } = options.configuration()
    for (const [id, target] of Object.entries(targets)) {
      if (target.service !== service || leaving.has(id)) continue
      const { address, weight } = target
      found.push({ id, service, address, weight, load: load(id) })
    }
    return found
  }

  function hold(target: RoutedTarget): Placement {
    let released = false
    const add = (change: number): void => {
      ownInFlight.set(target.id, (ownInFlight.get(target.id) ?? 0) + change)
    }
    add(1)
    return {
      target,
      release: () => {
        if (released) return
        released = true
        add(-1)
      },
    }
  }

  function status(): TargetStatus[] {
    const { services } = options.configuration()
    return Object.entries(services).flatMap(([service, { maxLoadFactor }]) => {
      const targets = targetsOf(service)
      const bound = loadBound(targets, maxLoadFactor)
      return targets.map(({ id, address, load }) => ({
        id,
        service,
        address,
        load,
        bound,
      }))
    })
  }

  function explain(service: string, customer: string, chat: string) {
    const targets = targetsOf(service)
    const factor = options.configuration().services[service]?.maxLoadFactor ?? 1
    const bound = loadBound(targets, factor)
    const candidates = rendezvousOrder(chat, targets).map(({ id, load }) => ({
      id,
      load,
      bound,
      eligible: options.eligible(id, false),
    }))
    const chosen = candidates.find(
      ({ load, eligible }) => eligible && load + 1 <= bound,
    )?.id
    const hintSource = HintSource.None
    return { service, customer, chat, hintSource, candidates, chosen }
  }

  return {
    status,
    explain,
    ownInFlight: () => Object.fromEntries(ownInFlight),
    place(request, exclude) {
      const targets = targetsOf(request.service).filter(
        ({ id }) =>
          !exclude.has(id) && options.eligible(id, request.idempotent),
      )
      const key = request.chat === '' ? request.id : request.chat
      const factor =
        options.configuration().services[request.service]?.maxLoadFactor ?? 1
      const chosen = chooseTarget(key, targets, factor)
      const target = targets.find((candidate) => candidate.id === chosen?.id)
      if (target) return Promise.resolve(ok(hold(target)))
      const message = `no target of ${request.service} can take the request`
      return Promise.resolve(
        err(
          createFailure(
            FailureCode.NoTarget,
            message,
            undefined,
            RETRY_AFTER_S,
          ),
        ),
      )
    },
  }
}
