#!/usr/bin/env node
import { runBench } from '../dist/index.js'

await runBench()
process.exit(0)
