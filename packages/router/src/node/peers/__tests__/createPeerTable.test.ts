import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createPeerTable } from '../createPeerTable.js'
import { decodeDigest, encodeDigest, type PeerDigest } from '../peerDigest.js'

const OPTIONS = { lostMs: 2_000, probeMs: 1_000, forgetMs: 60_000 }
const MOST = 16

function digest(fields: Partial<PeerDigest> = {}): PeerDigest {
  return {
    router: 'r1',
    incarnation: 'first',
    sequence: 1,
    port: 7_000,
    configurationVersion: 4,
    configurationReadMs: 10,
    targetsFingerprint: 1,
    targetsReadMs: null,
    targetsAgeMs: 10,
    stopping: false,
    work: [1, 2, 130],
    placed: [['prompt', 1]],
    ...fields,
  }
}

describe('createPeerTable', () => {
  it('ignores digests that were overtaken', () => {
    const table = createPeerTable(OPTIONS)
    assert.ok(table.heard(digest({ sequence: 5 }), '10.0.0.1', 0))
    assert.ok(!table.heard(digest({ sequence: 4 }), '10.0.0.1', 1))
    assert.ok(!table.heard(digest({ sequence: 5 }), '10.0.0.1', 2))
  })

  it('believes a restarted peer, whose sequence begins again', () => {
    const table = createPeerTable(OPTIONS)
    table.heard(digest({ sequence: 50 }), '10.0.0.1', 0)
    const restarted = digest({ sequence: 1, incarnation: 'second' })
    assert.ok(table.heard(restarted, '10.0.0.2', 1))
    assert.equal(table.live(1)[0]?.address.host, '10.0.0.2')
  })

  it('goes on telling a lost peer, at longer intervals, so that it finds the fleet again', () => {
    const table = createPeerTable(OPTIONS)
    table.heard(digest(), '10.0.0.1', 0)
    assert.equal(table.due(200, MOST).length, 1)
    assert.equal(table.live(5_000).length, 0)
    assert.equal(table.due(5_000, MOST).length, 1)
    assert.equal(table.due(5_500, MOST).length, 0)
    assert.equal(table.due(6_000, MOST).length, 1)
  })

  it('tells a listed peer that was never heard', () => {
    const table = createPeerTable(OPTIONS)
    table.listed('r2', { host: '10.0.0.2', port: 7_000 }, 0)
    assert.equal(table.due(0, MOST)[0]?.router, 'r2')
    assert.equal(table.live(0).length, 0)
  })

  it('tells a few of many peers at a time, those told longest ago first', () => {
    const table = createPeerTable(OPTIONS)
    for (let i = 0; i < 40; i += 1)
      table.heard(digest({ router: `r${i}` }), '10.0.0.1', 0)
    const lastRound = new Map<string, number>()
    for (let round = 1; round <= 30; round += 1) {
      const due = table.due(round, MOST)
      assert.equal(due.length, 16)
      for (const { router } of due) lastRound.set(router, round)
      // 40 peers, 16 at a time: each is told at least every third round.
      if (round < 3) continue
      assert.equal(lastRound.size, 40)
      for (const last of lastRound.values()) assert.ok(round - last < 3)
    }
  })

  it('counts no peer that stops as live, and forgets long silent ones', () => {
    const table = createPeerTable(OPTIONS)
    table.heard(digest({ stopping: true }), '10.0.0.1', 0)
    assert.equal(table.live(0).length, 0)
    assert.equal(table.expire(60_001)[0]?.router, 'r1')
    assert.equal(table.due(60_002, MOST).length, 0)
  })
})

describe('decodeDigest', () => {
  it('reads what was written', () => {
    assert.deepEqual(decodeDigest(encodeDigest(digest())), digest())
  })

  it('takes no other datagram for a digest', () => {
    for (const text of ['', '{', '{}', '[]', '{"router":1}'])
      assert.equal(decodeDigest(Buffer.from(text)), undefined)
  })
})
