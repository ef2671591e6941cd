import type { ServerResponse } from 'node:http'

/** Writes to a caller; resolves when the next chunk may be written. */
export function writeToCaller(
  res: ServerResponse,
  chunk: Buffer | string,
): Promise<void> {
  if (res.destroyed)
    return Promise.reject(new Error('the caller closed the connection'))
  if (chunk.length === 0 || res.write(chunk)) return Promise.resolve()
  return new Promise((resolve, reject) => {
    const onDrain = (): void => {
      res.off('close', onClose)
      resolve()
    }
    const onClose = (): void => {
      res.off('drain', onDrain)
      reject(new Error('the caller closed the connection'))
    }
    res.once('drain', onDrain)
    res.once('close', onClose)
  })
}
