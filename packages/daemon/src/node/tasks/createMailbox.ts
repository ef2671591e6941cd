import PQueue from 'p-queue'

/** Message queue of a task; messages are handled one at a time, in order. */
export interface Mailbox<M> {
  send(message: M): void
  /** Resolves when all messages sent so far are handled. */
  drained(): Promise<void>
}

/** Creates a mailbox; errors thrown by `handle` are passed to `onError`. */
export function createMailbox<M>(
  handle: (message: M) => Promise<void> | void,
  onError: (error: unknown) => void,
): Mailbox<M> {
  const queue = new PQueue({ concurrency: 1 })
  return {
    send: (message) => {
      queue.add(() => handle(message)).catch(onError)
    },
    drained: () => queue.onIdle(),
  }
}
