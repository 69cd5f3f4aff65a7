#!/usr/bin/env bash
# Builds what the scripts start. The stand-ins are plain modules for Node.js 20 and only have to parse; the deployed
# programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for module in review/standins/*.mjs review/[1-5]/*.mjs; do
    if [ -f "$module" ]; then
        node --check "$module"
    fi
done
