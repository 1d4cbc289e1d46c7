#!/bin/sh
# The stand-ins of the scripts are plain JavaScript modules (review/lib); nothing has to be compiled.
set -e
cd "$(dirname "$0")/.."
node --check review/lib/deployment.mjs
node --check review/lib/worker.mjs
node --check review/lib/platform.mjs
node --check review/lib/calls.mjs
