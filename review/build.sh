#!/bin/sh
# Builds the stand-ins of the cases into target/, after the build of the deploy
# file. Uses the project's own store and HTTP server of tests/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=c++17 -g -O2 -Wall -Wextra -Iinclude -I. -D_GNU_SOURCE
	$(pkg-config --cflags glib-2.0 jansson)"
libs="$(pkg-config --libs glib-2.0 jansson) -lpthread"
for source in tests/fake_http tests/fake_store; do
	# shellcheck disable=SC2086
	${CXX:-g++} $flags -c -o "target/review/$(basename "$source").o" \
		"$source.cc"
done
for source in review/[1-5]/case.cc; do
	[ -f "$source" ] || continue
	n=$(basename "$(dirname "$source")")
	# shellcheck disable=SC2086
	${CXX:-g++} $flags -o "target/review/case-$n" "$source" \
		target/review/fake_http.o target/review/fake_store.o $libs
done
