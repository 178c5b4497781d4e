#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into build-review-2/. Needs only the
# packages of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
out=build-review-2
mkdir -p "$out"
flags="-std=c++17 -O2 -Wall -Wextra -Iinclude -I. $(pkg-config --cflags jansson glib-2.0)"
libs="$(pkg-config --libs jansson glib-2.0) -lpthread"
# shellcheck disable=SC2086
for f in tests/fake_http tests/fake_store tests/fake_endpoint; do
	g++ $flags -c -o "$out/$(basename $f).o" "$f.cc"
done
for n in 6 7 8 9 10; do
	f=review/$n/case.cc
	[ -f "$f" ] || continue
	# shellcheck disable=SC2086
	g++ $flags -o "$out/case-$n" "$f" "$out/fake_http.o" \
		"$out/fake_store.o" "$out/fake_endpoint.o" $libs
done
