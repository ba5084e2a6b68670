#!/usr/bin/env node
import { main } from '../dist/lib/main.js'

await main()
