import {
  type Admission,
  AdmissionAction,
  type AdmissionRequest,
  type ServiceRoom,
} from '@auburnbay/core/admission/admission'
import {
  createOverloadQueue,
  type OverloadQueue,
} from '@auburnbay/core/admission/createOverloadQueue'
import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'
import type { Call } from '../callers/call.js'
import { failures } from '../callers/failures.js'
import { spreadRetryAfterS } from '../callers/spreadRetryAfterS.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { RouterMetrics } from '../metrics/routerMetrics.js'
import type { FleetLoad } from '../routing/createFleetLoad.js'
import { NO_LOAD } from '../routing/targetLoad.js'
import type { TargetList } from '../targets/createTargetList.js'

/** Interval of decisions on waiting requests, in milliseconds. */
const DECISION_INTERVAL_MS = 20

/** Options for {@link createServiceAdmissions}. */
export interface ServiceAdmissionsOptions {
  /** Whether requests are delayed and refused under overload, rather than by the targets. */
  readonly isEnabled: () => boolean
  readonly targetList: TargetList
  readonly load: FleetLoad
  /** Returns the number of routers including this one; undefined before the directory was listed. */
  readonly routerCount: () => number | undefined
  readonly metrics: Pick<RouterMetrics, 'recordAdmission'>
  readonly log: DecisionLog
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** A call that may be sent to targets. */
export interface AdmittedCall {
  /** Ends it; `isWhole` tells whether one target gave a whole response. */
  end(isWhole: boolean): void
}

/** What would be decided on a call, and the figures that decide. */
export interface AdmissionExplanation extends ServiceRoom {
  readonly isEnabled: boolean
  readonly admission: Admission
  /** Requests of this router that are in flight there. */
  readonly ownInFlight: number
  /** Requests that wait at this router. */
  readonly waiting: number
}

/** Decides under overload which calls go to their services at once, wait, or are refused. */
export interface ServiceAdmissions {
  /** Returns what {@link ServiceAdmissions.admit} would decide now; nothing is remembered by asking. */
  explain(call: Call): AdmissionExplanation
  /** Resolves to the failure to refuse a call with, or to the admitted call; undefined if the caller has left. */
  admit(call: Call): Promise<AdmittedCall | RequestFailure | undefined>
}

interface HeldRequest extends AdmissionRequest {
  readonly decide: (admission: Admission) => void
}

interface Decision {
  readonly admission: Admission
  readonly hasWaited: boolean
}

interface ServiceQueue {
  readonly queue: OverloadQueue<HeldRequest>
  /** Decides on waiting requests. */
  readonly update: () => void
}

const UNLIMITED: AdmittedCall = { end: () => undefined }

/** Creates admissions without requests. */
export function createServiceAdmissions(
  options: ServiceAdmissionsOptions,
): ServiceAdmissions {
  const { targetList, load, metrics, log, now } = options
  const services = new Map<string, ServiceQueue>()
  let lastId = 0

  function roomOf(service: string): ServiceRoom {
    let slots = 0
    let peersInFlight = 0
    const own = load.own()
    for (const target of targetList.ready(service, now())) {
      slots += target.slots
      const { requests } = own.get(target.id) ?? NO_LOAD
      peersInFlight += load.total(target.id, now()).requests - requests
    }
    return { slots, peersInFlight, routers: options.routerCount() ?? 1 }
  }

  function createQueue(service: string): ServiceQueue {
    const queue = createOverloadQueue<HeldRequest>({
      room: () => roomOf(service),
      now,
    })
    let timer: NodeJS.Timeout | undefined
    function update(): void {
      for (const { request, admission } of queue.take())
        request.decide(admission)
      if (queue.size === 0) {
        clearInterval(timer)
        timer = undefined
      } else timer ??= setInterval(update, DECISION_INTERVAL_MS).unref()
    }
    return { queue, update }
  }

  function queueOf(service: string): ServiceQueue {
    const known = services.get(service) ?? createQueue(service)
    services.set(service, known)
    return known
  }

  function requestOf(
    { route, customer, deadlineAtMs }: Call,
    id: string,
    decide: (admission: Admission) => void,
  ): HeldRequest {
    return {
      id,
      rank: customer?.priority ?? route.priority,
      customer: customer?.name ?? '',
      weight: 1,
      enqueuedAtMs: now(),
      dueAtMs: now() + route.targetLatencyMs,
      deadlineAtMs,
      decide,
    }
  }

  /** Resolves to the decision on a call; undefined if its caller leaves before. */
  function decide(
    call: Call,
    { queue, update }: ServiceQueue,
  ): Promise<Decision | undefined> {
    const { signal } = call
    lastId += 1
    const id = String(lastId)
    return new Promise((resolve) => {
      function leave(): void {
        queue.remove(id)
        resolve(undefined)
      }
      const request = requestOf(call, id, (admission) => {
        signal.removeEventListener('abort', leave)
        resolve({ admission, hasWaited: true })
      })
      const admission = queue.offer(request)
      if (admission.action !== AdmissionAction.Wait) {
        resolve({ admission, hasWaited: false })
        return
      }
      signal.addEventListener('abort', leave)
      update()
    })
  }

  function failureFor(call: Call, retryAfterMs: number): RequestFailure {
    const { attemptId } = call.request
    const retryAfterS = spreadRetryAfterS(attemptId, retryAfterMs)
    return { ...failures.overloaded, retryAfterS }
  }

  function logDecision(
    call: Call,
    admission: Admission,
    heldMs: number,
    { queue }: ServiceQueue,
  ): void {
    const { service, request } = call
    metrics.recordAdmission(service, admission.action)
    const { slots, peersInFlight } = roomOf(service)
    log.write(LogEvent.RequestDelayed, {
      request: request.attemptId,
      service,
      decision: admission.action,
      ms: Math.round(heldMs),
      slots,
      peersInFlight,
      waiting: queue.size,
    })
  }

  return {
    explain(call) {
      const isEnabled = options.isEnabled()
      const { queue } = services.get(call.service) ?? createQueue(call.service)
      const request = requestOf(call, '', () => undefined)
      return {
        isEnabled,
        admission: isEnabled
          ? queue.preview(request)
          : { action: AdmissionAction.Send },
        ...roomOf(call.service),
        ownInFlight: queue.inFlight,
        waiting: queue.size,
      }
    },
    async admit(call) {
      // The peer that relays a request has admitted it.
      if (!options.isEnabled() || call.relayed) return UNLIMITED
      const serviceQueue = queueOf(call.service)
      const { queue, update } = serviceQueue
      const receivedAtMs = now()
      const decision = await decide(call, serviceQueue)
      if (!decision) return undefined
      const { admission, hasWaited } = decision
      const heldMs = now() - receivedAtMs
      const isSent = admission.action === AdmissionAction.Send
      if (hasWaited || !isSent)
        logDecision(call, admission, heldMs, serviceQueue)
      if (admission.action === AdmissionAction.Refuse)
        return failureFor(call, admission.retryAfterMs)
      const { slots, peersInFlight } = roomOf(call.service)
      const hasRoom = peersInFlight + queue.inFlight <= slots
      const sentAtMs = now()
      return {
        end(isWhole) {
          queue.end(isWhole && hasRoom ? now() - sentAtMs : undefined)
          update()
        },
      }
    },
  }
}
