#!/bin/sh
# Case 6; TROUBLE=0 runs it without the disruption. Writes record.txt in this folder.
# Exit status: 0 held, 1 broken, 2 could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
TROUBLE=${TROUBLE:-1}
RECORD=$here/record.txt
export TROUBLE RECORD
exec "$here/../stand-2/run-case" 6
