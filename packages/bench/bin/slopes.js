#!/usr/bin/env node
import { runSlopes } from '../dist/index.js'

await runSlopes()
process.exit(0)
