#!/bin/sh
# Plays the case of the folder given; see review/REPORT.md. Exits with
# 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
program=target/review/case-$(basename "$folder")
[ -x "$program" ] && [ -x target/pimento-gateway ] || exit 2
STAGE_DIR=$(mktemp -d) || exit 2
RECORD=$folder/record.txt
export STAGE_DIR RECORD
timeout 110 "$program"
status=$?
rm -rf "$STAGE_DIR"
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
