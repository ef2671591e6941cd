import type { IncomingMessage } from 'node:http'
import { hash32 } from '@auburnbay/core/hash/hash32'
import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'
import { err, ok, type Result } from 'neverthrow'
import type { ActiveConfiguration } from '../configuration/createConfigurationStore.js'
import type { Route } from '../configuration/route.js'
import type { Call } from './call.js'
import type { CallerRequest } from './callerRequest.js'
import { failures } from './failures.js'

/** An admitted request, without the body, memory, deadline and signal of the call. */
export type AdmittedRequest = Omit<
  Call,
  'body' | 'memory' | 'signal' | 'deadlineAtMs'
>

function pathOf(url: string): string {
  const query = url.indexOf('?')
  return query < 0 ? url : url.slice(0, query)
}

/** Selects a service by weight, the same one whenever a stream is resumed. */
function selectService({ services }: Route, attemptId: string): string {
  let total = 0
  for (const { weight } of services) total += weight
  let point = (hash32(attemptId) / 2 ** 32) * total
  for (const { service, weight } of services) {
    if (point < weight) return service
    point -= weight
  }
  return services.at(-1)?.service ?? ''
}

/** Resolves the route, customer and service of a request, or the failure to refuse it with. */
export function admitRequest(
  req: IncomingMessage,
  request: CallerRequest,
  active: ActiveConfiguration,
): Result<AdmittedRequest, RequestFailure> {
  const path = req.url ?? '/'
  const route = active.routes.find(request.host, pathOf(path))
  if (!route) return err(failures.noRoute)
  const customer =
    request.key === undefined
      ? undefined
      : active.customersByKey?.get(request.key)
  const needsKey = active.customersByKey !== undefined && !route.anonymous
  if (needsKey && !customer) return err(failures.wrongKey)
  return ok({
    request,
    method: req.method ?? 'GET',
    path,
    rawHeaders: req.rawHeaders,
    route,
    service: selectService(
      route,
      request.resumedAttemptId ?? request.attemptId,
    ),
    ...(customer && { customer }),
  })
}
