#!/bin/sh
cd "$(dirname "$0")/../.." && exec node review/7/case.mjs
