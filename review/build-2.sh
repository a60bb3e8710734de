#!/bin/sh
# The stand-ins of review/rig-2 are plain JavaScript that node runs as it is. This checks that they and the cases parse,
# and that the program that the cases start was built.
cd "$(dirname "$0")/.." || exit 1
for file in review/rig-2/*.mjs review/6/*.mjs review/7/*.mjs review/8/*.mjs review/9/*.mjs review/10/*.mjs; do
  if [ -e "$file" ]; then node --check "$file" || exit 1; fi
done
test -e target/marigoldvalve.cjs
