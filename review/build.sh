#!/usr/bin/env bash
# Checks that the stand-ins of the scripts load; they are Python and need no other build.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=.:target/deps python3 -c "
import balsamdeal.platform.store
import review.stand.deployment
import review.stand.requester
"
