import PQueue from 'p-queue'

/** The inbox of a task: messages are handled one after another. */
export interface Mailbox<M> {
  send(message: M): void
  /** Resolves once every message sent so far was handled. */
  drained(): Promise<void>
}

/** Creates an inbox; an error in `handle` goes to `onError`. */
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
