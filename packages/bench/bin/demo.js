#!/usr/bin/env node
import { runDemo } from '../dist/index.js'

await runDemo()
process.exit(0)
