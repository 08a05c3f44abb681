#!/usr/bin/env bash
# Exits with 1 if two hosts ended three times, 0 if not, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 110 target/review-2/large_values target/platform/masticgrade-edge review/7
