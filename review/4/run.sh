#!/bin/sh
# Plays case 4. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 plays the same without the disruption. Writes what was
# sent, answered and run to record.txt in this folder.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review/case-4
[ -x "$program" ] && [ -x target/pimento-gateway ] || exit 2
TROUBLE=${TROUBLE:-1}
RECORD=$folder/record.txt
STAGE_DIR=$(mktemp -d) || exit 2
export TROUBLE RECORD STAGE_DIR
# The processes that the program starts end with it.
timeout 110 "$program" &
child=$!
trap 'kill "$child"' HUP INT TERM
wait "$child"
status=$?
rm -rf "$STAGE_DIR"
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
