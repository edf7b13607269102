#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. Its cases are days of the bench and have no scripts, so there is nothing to build.
set -euo pipefail
