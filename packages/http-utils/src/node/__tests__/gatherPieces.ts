// Run by a test in a thread with a small heap.
import { parentPort } from 'node:worker_threads'
import { createByteCollector } from '../createByteCollector.js'

const BODIES = 10
const BODY_BYTES = 4 * 1024 * 1024
const PIECE_BYTES = 16

const collectors = Array.from({ length: BODIES }, createByteCollector)
for (let bytes = 0; bytes < BODY_BYTES; bytes += PIECE_BYTES)
  for (const collector of collectors)
    collector.add(Buffer.alloc(PIECE_BYTES, 'x'))
let total = 0
for (const collector of collectors) total += collector.take().length
parentPort?.postMessage(total)
