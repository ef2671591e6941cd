import { deflateRawSync, inflateRawSync } from 'node:zlib'

const names = [
  'group',
  'membersHash',
  'router',
  'incarnation',
  'sequence',
  'epoch',
  'used',
  'credits',
  'finished',
  'wants',
  'key',
  'hint',
  'exclude',
  'status',
  'granted',
  'loans',
  'accepted',
  'home',
  'dataCentre',
  'configurationVersion',
  'stopping',
  'digest',
  'targets',
  'customers',
  'started',
]
const sample =
  '{"status":"granted","epoch":,"granted":[],"loans":[0,0,0,0,0,0,0,0,0,0,0,0]}' +
  '{"group":"","membersHash":,"router":"","incarnation":"-0000-4000-8000-","sequence":,"epoch":,"used":[0,0,0,0],"credits":[0,0,0,0,0,0,0,0],"finished":0,"wants":[{"key":"","hint":0,"exclude":[]}]}' +
  '{"router":"","incarnation":"","dataCentre":"","configurationVersion":,"stopping":false,"digest":{"targets":{},"customers":{},"started":{}}}'

/** Text that every message resembles; both ends must have the same. */
const dictionary = Buffer.from(`${names.join('":')}${sample}`)
const options = { dictionary, windowBits: 12, memLevel: 3 }
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024

/** Packs the messages between routers: JSON, deflated with a dictionary. */
export const wireCodec = {
  serialize(value: unknown): string {
    if (value === undefined) return ''
    return deflateRawSync(JSON.stringify(value), options).toString('base64')
  },
  deserialize(text: unknown): unknown {
    if (typeof text !== 'string' || text === '') return undefined
    const packed = Buffer.from(text, 'base64')
    const limits = { ...options, maxOutputLength: MAX_MESSAGE_BYTES }
    return JSON.parse(
      inflateRawSync(packed, limits).toString('utf8'),
    ) as unknown
  },
}
