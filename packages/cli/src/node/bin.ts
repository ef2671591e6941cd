#!/usr/bin/env node
import { runSafely } from 'cmd-ts'
import { createApp } from './createApp.js'
import { ExitCode } from './exitCode.js'

const result = await runSafely(createApp(), process.argv.slice(2))
if (result._tag === 'error') {
  const { message, into, exitCode } = result.error.config
  process[into].write(`${message}\n`)
  process.exitCode = exitCode === 0 ? ExitCode.Done : ExitCode.Usage
}
