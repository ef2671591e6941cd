import {
  type OutgoingCollectRequest,
  type GrantRequest,
  type GrantResponse,
  groupTargets,
  COORDINATOR_RETRY_MS,
  selectCoordinator,
  type LedgerContext,
  type TargetSelection,
  type TargetGroup,
} from '@auburnbay/core'
import type { Arrival } from '../createTrace.js'
import type { BenchFleet, CreateWay } from '../routingWay.js'
import { createGrantNode, type GrantNode } from './createGrantNode.js'
import { startDigests } from './startDigests.js'
import type { GrantTally } from './grantTally.js'

/** Switches of the way of grants. */
export interface GrantWayOptions {
  /** Whether callers send the hint of the last answer. @default true */
  readonly hints?: boolean
  /** Credits lent on one target to one router. */
  readonly loanSize?: number
  /** Stretch in which no home answers. */
  readonly silence?: { readonly fromMs: number; readonly toMs: number }
  /** Whether routers keep flapping targets out for longer. @default false */
  readonly dampFlaps?: boolean
  /** Milliseconds from one router to another. @default 0.5 */
  readonly hopMs?: number
}

/** Milliseconds that a request waits for the home at most. */
const HOME_LIMIT_MS = 5
const TICK_MS = 200
/** Milliseconds until a request without a place asks again. */
const TRY_AGAIN_MS = 20

/** The chosen way: grants and credits of a home, shares while it is silent. */
export function grantWay(
  tally: GrantTally,
  options: GrantWayOptions = {},
): CreateWay {
  return (fleet) => createGrantFleet(fleet, tally, options)
}

function onlyGroup(ids: readonly string[]): TargetGroup {
  const targets = ids.map((id) => ({ id, weight: 1 }))
  const [group] = groupTargets('model', targets)
  if (!group) throw new Error('a group needs targets')
  return group
}

function createGrantFleet(
  fleet: BenchFleet,
  tally: GrantTally,
  options: GrantWayOptions,
) {
  const {
    hints = true,
    loanSize,
    silence,
    dampFlaps = false,
    hopMs = 0.5,
  } = options
  const ids = Array.from(
    { length: fleet.targets },
    (_, index) => `target-${index}`,
  )
  const group = onlyGroup(ids)
  const members = group.members.map(({ id }) => ids.indexOf(id))
  const placing = new Map<number, Arrival>()
  const indexOf = new Map(members.map((target, index) => [target, index]))

  const nodes = Array.from({ length: fleet.routers }, (_, self) =>
    createGrantNode(group, self, HOME_LIMIT_MS, loanSize),
  )

  const isAlive = (node: GrantNode): boolean =>
    fleet.liveRouters(node.self).includes(node.self)

  const homes = new Map<string, GrantNode | undefined>()
  const named = new Map<readonly number[], readonly string[]>()

  function routersOf(node: GrantNode): readonly string[] {
    const live = fleet.liveRouters(node.self)
    const known = named.get(live)
    if (known) return known
    const names = live.map((index) => `router-${index}`)
    named.set(live, names)
    return names
  }

  function homeOf(node: GrantNode): GrantNode | undefined {
    const routers = routersOf(node)
    const key = routers.join()
    if (!homes.has(key)) {
      const home = selectCoordinator(group.id, routers)
      homes.set(
        key,
        nodes.find(({ router }) => router === home),
      )
    }
    return homes.get(key)
  }

  function isSilent(): boolean {
    if (silence === undefined) return false
    return fleet.nowMs >= silence.fromMs && fleet.nowMs < silence.toMs
  }

  function eligible(node: GrantNode, index: number): boolean {
    const listed = fleet.listed(node.self, members[index] ?? -1)
    if (!dampFlaps) return listed
    return node.damper.update(String(index), listed, fleet.nowMs)
  }

  function viewOf(node: GrantNode) {
    return {
      nowMs: fleet.nowMs,
      hasCoordinator: true,
      isCoordinator: homeOf(node) === node,
      eligible: (index: number) => eligible(node, index),
    }
  }

  function ledgerView(node: GrantNode): LedgerContext {
    return {
      nowMs: fleet.nowMs,
      maxLoadFactor: fleet.maxLoadFactor,
      eligible: (index) => eligible(node, index),
      reported: (index) => fleet.reported(members[index] ?? -1),
    }
  }

  function carryOut(placed: readonly TargetSelection[]): void {
    for (const { requestId, index, source, waitedMs } of placed) {
      const arrival = placing.get(requestId)
      placing.delete(requestId)
      tally.sources[source] += 1
      tally.longestWaitMs = Math.max(tally.longestWaitMs, waitedMs)
      if (!arrival) continue
      if (index >= 0) fleet.run(arrival, members[index] ?? 0)
      else fleet.after(TRY_AGAIN_MS, place.bind(undefined, arrival))
    }
  }

  function count(
    from: GrantNode,
    to: GrantNode,
    ask: GrantRequest,
    reply: GrantResponse,
  ): void {
    tally.exchanges += 1
    tally.payloadBytes +=
      JSON.stringify(ask).length + JSON.stringify(reply).length
    for (const { self } of [from, to])
      tally.exchangesOf[self] = (tally.exchangesOf[self] ?? 0) + 1
  }

  function deliver(node: GrantNode, home: GrantNode, ask: GrantRequest): void {
    if (isSilent() || !isAlive(home)) return
    const reply = home.home.handleGrantRequest(ask, ledgerView(home))
    const answer = (): void => {
      carryOut(
        node.placer.applyGrantResponse(ask.sequence, reply, viewOf(node)),
      )
      send(node)
      fleet.after(COORDINATOR_RETRY_MS, send.bind(undefined, node))
    }
    if (home === node) answer()
    else {
      count(node, home, ask, reply)
      fleet.after(hopMs, answer)
    }
  }

  function send(node: GrantNode): void {
    const home = homeOf(node)
    const ask = home && node.placer.nextGrantRequest(viewOf(node))
    if (!ask) return
    if (home === node) deliver(node, home, ask)
    else fleet.after(hopMs, deliver.bind(undefined, node, home, ask))
    fleet.after(HOME_LIMIT_MS, () => {
      carryOut(node.placer.expireWaiting(viewOf(node)))
      carryOut(node.placer.handleGrantFailure(ask.sequence, viewOf(node)))
    })
  }

  function collect(
    node: GrantNode,
    { to, request: ask }: OutgoingCollectRequest,
  ): void {
    const peer = nodes.find(({ router }) => router === to)
    if (!peer || !isAlive(peer) || isSilent()) return
    fleet.after(peer === node ? 0 : hopMs, () => {
      const reply = peer.holder.handleCollectRequest(ask)
      fleet.after(peer === node ? 0 : hopMs, () => {
        node.home.applyCollectResponse(reply, fleet.nowMs)
      })
    })
  }

  function tick(node: GrantNode): void {
    if (!isAlive(node)) return
    const routers = routersOf(node)
    const { epoch } = node.holder
    const home = homeOf(node)?.router
    for (const call of node.home.update({
      coordinator: home,
      routers,
      epoch,
      nowMs: fleet.nowMs,
    }))
      collect(node, call)
    send(node)
    fleet.after(TICK_MS, () => {
      tick(node)
    })
  }

  startDigests({ fleet, nodes, members, routersOf, eligible })
  for (const node of nodes)
    fleet.after((TICK_MS * node.self) / nodes.length, () => {
      tick(node)
    })

  function place(arrival: Arrival): void {
    const node = nodes[arrival.router]
    if (!node) return
    placing.set(arrival.id, arrival)
    const hinted = hints ? fleet.callerHint(arrival) : undefined
    const hint = hinted === undefined ? undefined : indexOf.get(hinted)
    const want = { key: arrival.chat, hint, exclude: [] }
    const placed = node.placer.select(arrival.id, want, viewOf(node))
    if (placed) carryOut([placed])
    else {
      send(node)
      fleet.after(HOME_LIMIT_MS, () => {
        carryOut(node.placer.expireWaiting(viewOf(node)))
      })
    }
  }

  return {
    place,
    ended(arrival: Arrival, target: number): void {
      const node = nodes[arrival.router]
      if (!node) return
      node.placer.release(indexOf.get(target) ?? -1)
      send(node)
    },
  }
}
