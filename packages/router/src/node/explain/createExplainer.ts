import type { IncomingMessage } from 'node:http'
import { createBufferBudget } from '@auburnbay/http-utils/createBufferBudget'
import type { ServiceAdmissions } from '../admission/createServiceAdmissions.js'
import { admitRequest } from '../callers/admitRequest.js'
import { admitResumption } from '../callers/admitResumption.js'
import type { Call } from '../callers/call.js'
import { failures } from '../callers/failures.js'
import { limitMsOf } from '../callers/limitMsOf.js'
import type {
  ActiveConfiguration,
  ConfigurationStore,
} from '../configuration/createConfigurationStore.js'
import type { RetryBudget } from '../limits/createRetryBudget.js'
import type { RoutingState } from '../routing/createRoutingState.js'
import type {
  Candidate,
  SelectionExplanation,
  TargetSelector,
} from '../routing/targetSelector.js'
import type { ResumableStreams } from '../streams/createResumableStreams.js'
import type { ExplainRequest } from './explainRequest.js'
import type {
  ExplainedCandidate,
  ExplainedChoice,
  Explanation,
} from './explanation.js'

/** Options for {@link createExplainer}. */
export interface ExplainerOptions {
  readonly router: string
  readonly configurationStore: ConfigurationStore
  readonly streams: ResumableStreams
  readonly routingState: Pick<RoutingState, 'load' | 'evacuations'>
  readonly selector: TargetSelector
  readonly admissions: ServiceAdmissions
  readonly retryBudgetFor: (service: string) => RetryBudget
  /** Upper bound on the staleness of the target list, in milliseconds. */
  readonly targetsAgeMs: () => number
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Explains where a request would go now, without sending it. */
export type Explainer = (request: ExplainRequest) => Explanation

/** Memory of a request that is never sent. */
const NO_MEMORY = createBufferBudget(0).lease()
const NEVER_ABORTED = new AbortController().signal

/** Returns a key of the customer that a question names. */
function keyOf(
  { key, customer }: ExplainRequest,
  { configuration }: ActiveConfiguration,
): string | undefined {
  if (key !== undefined || customer === undefined) return key
  const named = configuration.customers?.find(({ name }) => name === customer)
  return named?.keys[0]
}

function describeCandidate(candidate: Candidate): ExplainedCandidate {
  const { target, load, isCached, exclusion } = candidate
  return {
    target: target.id,
    dataCentre: target.dataCentre,
    ...load,
    cachesPrompt: isCached,
    ...(exclusion !== undefined && { exclusion }),
  }
}

function describeChoice({
  placement,
}: SelectionExplanation): ExplainedChoice | undefined {
  if (!placement) return undefined
  const { target, reason, prefillTokens, fetchFrom } = placement
  return {
    target: target.id,
    reason,
    prefillTokens,
    ...(fetchFrom && { fetchFrom: fetchFrom.id }),
  }
}

/**
 * Creates an explainer. It asks the functions that decide on requests; nothing is
 * sent, counted or reserved by asking.
 */
export function createExplainer(options: ExplainerOptions): Explainer {
  const { configurationStore, routingState, selector, now } = options

  /** Returns the call that a request would become, or the failure to refuse it with. */
  function callOf(question: ExplainRequest, active: ActiveConfiguration) {
    const key = keyOf(question, active)
    const { deadlineMs, resumedAttempt } = question
    const req = {
      url: question.path,
      method: question.method,
      rawHeaders: [],
    } as unknown as IncomingMessage
    const request = {
      attemptId: question.attempt,
      host: question.host,
      promptParts: question.prompt,
      ...(key !== undefined && { key }),
      ...(deadlineMs !== undefined && { deadlineMs }),
      ...(resumedAttempt !== undefined && { resumedAttemptId: resumedAttempt }),
    }
    return admitRequest(req, request, active)
      .andThen((value) => admitResumption(value, options.streams, undefined))
      .map((value): Call => ({
        ...value,
        body: Buffer.alloc(0),
        memory: NO_MEMORY,
        deadlineAtMs: now() + limitMsOf(value),
        signal: NEVER_ABORTED,
      }))
  }

  return (question) => {
    const targetsAgeMs = options.targetsAgeMs()
    const facts = {
      router: options.router,
      configurationVersion: configurationStore.version,
      targetsAgeMs: Number.isFinite(targetsAgeMs) ? targetsAgeMs : null,
      loadAgeMs: routingState.load.oldestReportMs(now()),
      evacuatedDataCentres: routingState.evacuations.all(),
    }
    const active = configurationStore.current
    if (!active) return { ...facts, refusal: failures.starting }
    const called = callOf(question, active)
    if (called.isErr()) {
      const { status, code, message } = called.error
      return { ...facts, refusal: { status, code, message } }
    }
    const call = called.value
    const { route, service, customer } = call
    const selection = selector.explain(call, {
      tried: new Set(),
      softwareVersion: call.softwareVersion,
    })
    const choice = describeChoice(selection)
    return {
      ...facts,
      route: route.name,
      service,
      ...(customer && { customer: customer.name }),
      rank: customer?.priority ?? route.priority,
      admission: options.admissions.explain(call),
      candidates: selection.candidates.map(describeCandidate),
      ...(choice && { choice }),
      retries: options.retryBudgetFor(service).usage(now()),
    }
  }
}
