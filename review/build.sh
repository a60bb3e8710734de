#!/bin/sh
# Builds what the scripts start besides the deployed program: the project's own stand-in for the store.
set -e
cd "$(dirname "$0")/.."
node --input-type=module -e "
import { bundle } from './tools/build.js'
await bundle('standins/rows.ts', 'target/review-rows.cjs')"
