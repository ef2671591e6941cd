// Bundles the router and its platform adapter into one file.
import { build } from 'esbuild'

await build({
  entryPoints: ['platform/src/node/bin.ts'],
  outfile: 'target/auburnbayd.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  legalComments: 'none',
  alias: {
    '@auburnbay/core': './packages/core/src/node',
    '@auburnbay/http-utils': './packages/http-utils/src/node',
    '@auburnbay/router': './packages/router/src/node',
  },
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
})
