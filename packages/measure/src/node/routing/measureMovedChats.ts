import { hash32, rendezvousOrder } from '@auburnbay/core'
import type { Figure } from '../figure.js'

const CHATS = 20_000
const TARGETS = 13
const MAX_UNRELATED_MOVES = 0.02

function movedShare(
  selectTarget: (chat: string, targets: string[]) => string,
): number {
  const before = Array.from(
    { length: TARGETS },
    (_, index) => `engine-${index}`,
  )
  const leaving = 'engine-4'
  const after = before.filter((target) => target !== leaving)
  let moved = 0
  for (let index = 0; index < CHATS; index += 1) {
    const chat = `chat-${index}`
    const first = selectTarget(chat, before)
    if (first !== leaving && first !== selectTarget(chat, after)) moved += 1
  }
  return moved / CHATS
}

function rendezvous(chat: string, targets: string[]): string {
  const weighted = targets.map((id) => ({ id, weight: 1 }))
  return rendezvousOrder(chat, weighted)[0]?.id ?? ''
}

function modulo(chat: string, targets: string[]): string {
  return targets[hash32(chat) % targets.length] ?? ''
}

/** Measures the share of chats that move although their target has not left. */
export function measureMovedChats(): Figure {
  return {
    measure: 'routing.moved-chats-on-leave',
    value: movedShare(rendezvous),
    unit: 'share of chats',
    bound: MAX_UNRELATED_MOVES,
    baseline: movedShare(modulo),
  }
}
