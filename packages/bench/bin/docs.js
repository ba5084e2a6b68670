#!/usr/bin/env node
import { writeReference } from '../dist/lib/write-reference.js'

await writeReference()
process.exit(0)
