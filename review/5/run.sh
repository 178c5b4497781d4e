#!/bin/sh
exec "$(dirname "$0")/../common/run.sh" "$(dirname "$0")"
