#!/usr/bin/env node
import { runExperiment } from '../dist/index.js'

await runExperiment()
process.exit(0)
