#!/usr/bin/env node
import { runExample } from '../dist/lib/example.js'

await runExample(process.argv[2])
