#!/usr/bin/env bash
# Five gateways, twelve workers; a request that crashes its workers comes again and again.
# Exit status: 1 broken, 0 held, 2 could not run. TROUBLE=0: the request crashes nothing.
cd "$(dirname "$0")/../.." || exit 2
here=review/1
[ -x target/review/rig ] || exit 2
RECORD=$here/record.txt timeout -k 2 115 target/review/rig poison
code=$?
[ $code -le 1 ] && exit $code
exit 2
