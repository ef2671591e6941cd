import { FailureCode, type RequestFailure } from '@auburnbay/core'
import { err, ok, type Result } from 'neverthrow'
import PQueue from 'p-queue'
import { createFailure } from '../callers/createFailure.js'
import type { RoutedRequest } from '../callers/routedRequest.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import type { Admission, Admitted } from './admission.js'

const RETRY_AFTER_S = 1

/** Creates admission with a bounded queue ordered by rank. */
export function createAdmission(
  settings: ResolvedSettings['queue'],
): Admission {
  const queue = new PQueue({ concurrency: settings.maxInFlight })
  const running = new Map<string, number>()

  function add(customer: string, change: number): void {
    const count = (running.get(customer) ?? 0) + change
    if (count === 0) running.delete(customer)
    else running.set(customer, count)
  }

  function enter(
    request: RoutedRequest,
  ): Promise<Result<Admitted, RequestFailure>> {
    if (queue.size >= settings.maxWaiting) {
      const message = 'too many requests wait; try again later'
      const { Overloaded } = FailureCode
      return Promise.resolve(
        err(createFailure(Overloaded, message, undefined, RETRY_AFTER_S)),
      )
    }
    return new Promise((resolve) => {
      const run = (): Promise<void> =>
        new Promise((release) => {
          add(request.customer, 1)
          resolve(
            ok({
              release: () => {
                add(request.customer, -1)
                release()
              },
            }),
          )
        })
      queue
        .add(run, { priority: -request.rank, signal: request.signal })
        .catch(() => {
          const message = 'the caller went away while the request waited'
          resolve(err(createFailure(FailureCode.DeadlinePassed, message)))
        })
    })
  }

  return {
    enter,
    runningByCustomer: () => Object.fromEntries(running),
    get running() {
      return queue.pending
    },
    get waiting() {
      return queue.size
    },
  }
}
