import { hash32 } from '@auburnbay/core'

/** Returns the key that identifies a chat in messages between routers. */
export function chatKey(chat: string): string {
  return hash32(chat).toString(36)
}
