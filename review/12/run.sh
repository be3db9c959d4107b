#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -x target/bronzehook ] || [ ! -x target/lab3 ]; then
	echo "build the deploy file's packages and review/build-3.sh first"
	exit 2
fi
exec target/lab3 advised-release "${RECORD:-$folder/record.txt}"
