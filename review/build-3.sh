#!/bin/sh
# The stand-ins of the cases 11 to 15 are plain JavaScript without dependencies: nothing is built, only checked.
cd "$(dirname "$0")/.." || exit 2
for file in review/common-3/*.mjs review/1[1-5]/*.mjs; do node --check "$file" || exit 1; done
