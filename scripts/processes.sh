# Starts, watches and stops processes on loopback, by pid. Sourced by
# scripts/demo, soak and bench-path, which set `set -uo pipefail`.

B=${PF_BUILD:-build}
DIR=$(mktemp -d)
declare -A PID
FAILED=0

fail()
{
	echo "level=error what=\"$*\"" >&2
	FAILED=1
}

now_ms() { date +%s%3N; }

# start_process NAME COMMAND...: runs it in the background, logs to $DIR/NAME.log.
start_process()
{
	local name=$1
	shift
	"$@" >>"$DIR/$name.log" 2>&1 &
	PID[$name]=$!
}

is_running() { [ -n "${PID[$1]:-}" ] && kill -0 "${PID[$1]}" 2>/dev/null; }

# reap NAME: waits for the process and sets STATUS to its exit status.
reap()
{
	STATUS=0
	wait "${PID[$1]}" 2>/dev/null || STATUS=$?
	unset "PID[$1]"
}

# stop_process NAME SECONDS: sends SIGTERM; an error unless it exits 0 in time.
stop_process()
{
	local name=$1 i
	is_running "$name" || { fail "$name is gone before its stop"; return; }
	kill -TERM "${PID[$name]}"
	for ((i = 0; i < $2 * 20; i++)); do
		is_running "$name" || break
		sleep 0.05
	done
	if is_running "$name"; then
		fail "$name does not stop"
		kill -KILL "${PID[$name]}"
	fi
	reap "$name"
	[ "$STATUS" = 0 ] || fail "$name exited with $STATUS"
}

# Kills the remaining processes, by pid; keeps the logs after a failure.
cleanup()
{
	local name
	for name in "${!PID[@]}"; do
		kill -CONT "${PID[$name]}" 2>/dev/null
		kill -KILL "${PID[$name]}" 2>/dev/null
		wait "${PID[$name]}" 2>/dev/null
	done
	if [ "$FAILED" = 0 ]; then
		rm -rf "$DIR"
	else
		echo "level=info logs=$DIR" >&2
	fi
}
trap cleanup EXIT
trap 'FAILED=1; exit 130' INT TERM

http_get() { curl -s -m 5 "$@"; }

# wait_http_ok ADDR SECONDS PATH: polls until GET PATH returns 200.
wait_http_ok()
{
	local i
	for ((i = 0; i < $2 * 20; i++)); do
		[ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' \
			"http://$1$3")" = 200 ] && return 0
		sleep 0.05
	done
	fail "$1$3 does not answer 200"
	return 1
}

# json_number NAME: prints N of the first "NAME":N in the JSON on stdin, else 0.
json_number()
{
	local n
	n=$(grep -o "\"$1\": *[0-9]*" | head -1 | grep -o '[0-9]*$')
	echo "${n:-0}"
}
