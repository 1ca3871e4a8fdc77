#!/bin/sh
# Plays the case in the folder $1, without its disruption where $2 is 0: builds nothing, uses a temporary folder, leaves
# no process.
case_folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$case_folder/../.." && pwd) || exit 2
program="$root/build/review-2/$(basename "$case_folder")"
[ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
[ -x "$root/build/jasperspread" ] || { echo "run the build of the deploy file first" >&2; exit 2; }
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
"$program" "$root" "$case_folder" "$temporary" "${2:-1}"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
