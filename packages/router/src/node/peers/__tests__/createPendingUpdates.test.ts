import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { CacheLocation } from '../../routing/createCacheLocations.js'
import { createPendingUpdates } from '../createPendingUpdates.js'
import { createPeerTable } from '../createPeerTable.js'
import type { PeerDigest } from '../peerDigest.js'

const PEERS = 59
const MOST = 16
const TELLINGS = Math.ceil(PEERS / MOST)

describe('placements that are told', () => {
  it('reach every peer, also where one digest goes to a few of them', () => {
    const table = createPeerTable({
      lostMs: 2_000,
      probeMs: 1_000,
      forgetMs: 60_000,
    })
    for (let place = 0; place < PEERS; place += 1)
      table.heard(
        { router: `r${place}`, sequence: 1 } as PeerDigest,
        '10.0.0.1',
        0,
      )
    let placed: CacheLocation[] = []
    const news = createPendingUpdates(() => {
      const taken = placed
      placed = []
      return taken
    })
    const heard = new Map<string, Set<string>>()
    for (let round = 1; round <= 40; round += 1) {
      const key = `prompt-${round}`
      placed = [[key, 'target']]
      const told = news.next(TELLINGS)
      for (const { router } of table.due(round, MOST))
        for (const [known] of told) {
          const hearers = heard.get(known) ?? new Set()
          heard.set(known, hearers.add(router))
        }
    }
    for (let round = 1; round <= 40 - TELLINGS; round += 1)
      assert.equal(heard.get(`prompt-${round}`)?.size, PEERS)
  })

  it('are told once where a digest reaches all', () => {
    const news = createPendingUpdates(() => [['prompt', 'target']])
    assert.equal(news.next(1).length, 1)
    assert.equal(news.next(1).length, 1)
  })
})
