# Processes on loopback for the demo and the soak: started, watched and ended
# by pid. Sourced; the caller sets `set -uo pipefail`.

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

# start NAME COMMAND...: runs it in the background, its log in $DIR/NAME.log.
start_process()
{
	local name=$1
	shift
	"$@" >>"$DIR/$name.log" 2>&1 &
	PID[$name]=$!
}

is_running() { [ -n "${PID[$1]:-}" ] && kill -0 "${PID[$1]}" 2>/dev/null; }

# forget NAME: takes its exit status into STATUS.
reap()
{
	STATUS=0
	wait "${PID[$1]}" 2>/dev/null || STATUS=$?
	unset "PID[$1]"
}

# end NAME SECONDS: SIGTERM, and an error unless it exits 0 in time.
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

# Ends whatever is left, by pid; keeps the logs when something failed.
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

# ready ADDR SECONDS PATH: polls until the page answers 200.
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

# field NAME: the number of "NAME":N in the JSON on stdin, 0 if absent.
json_number()
{
	local n
	n=$(grep -o "\"$1\": *[0-9]*" | head -1 | grep -o '[0-9]*$')
	echo "${n:-0}"
}
