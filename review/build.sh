#!/bin/sh
# Checks that every stand-in loads with the packages of the deploy file's build: they
# are Python modules, so there is nothing to compile.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:." exec python3 -S -c \
    "import review.common.site, review.common.store, review.common.worker"
