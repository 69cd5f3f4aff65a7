#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are plain Node.js modules without dependencies; this only checks that each can be parsed.
set -eu
cd "$(dirname "$0")/.."
for module in review/standins-2/*.mjs review/6/*.mjs review/7/*.mjs review/8/*.mjs review/9/*.mjs review/10/*.mjs; do
    node --check "$module"
done
