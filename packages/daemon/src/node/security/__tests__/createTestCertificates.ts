import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { generate } from 'selfsigned'

/** A test CA that writes the certificates it signs to files. */
export interface TestCertificates {
  readonly caFile: string
  readonly ca: string
  /** Signs a certificate for 127.0.0.1; a repeated name overwrites its files. */
  issue(name: string): Promise<{ certFile: string; keyFile: string }>
}

/** Creates a CA in a new temporary folder. */
export async function createTestCertificates(): Promise<TestCertificates> {
  const folder = mkdtempSync(join(tmpdir(), 'auburnbay-tls-'))
  const keys = { keyType: 'ec', algorithm: 'sha256' } as const
  const ca = await generate([{ name: 'commonName', value: 'test CA' }], {
    ...keys,
    extensions: [
      { name: 'basicConstraints', cA: true },
      { name: 'keyUsage', keyCertSign: true, cRLSign: true },
    ],
  })
  const write = (name: string, text: string): string => {
    const path = join(folder, name)
    writeFileSync(path, text)
    return path
  }
  return {
    ca: ca.cert,
    caFile: write('ca.pem', ca.cert),
    issue: async (name) => {
      const issued = await generate([{ name: 'commonName', value: name }], {
        ...keys,
        ca: { key: ca.private, cert: ca.cert },
        extensions: [
          { name: 'basicConstraints', cA: false },
          { name: 'keyUsage', digitalSignature: true },
          { name: 'extKeyUsage', serverAuth: true, clientAuth: true },
          {
            name: 'subjectAltName',
            altNames: [{ type: 7, ip: '127.0.0.1' }],
          },
        ],
      })
      return {
        certFile: write(`${name}.pem`, issued.cert),
        keyFile: write(`${name}.key`, issued.private),
      }
    },
  }
}
