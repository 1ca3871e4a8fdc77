# Plays one case: play.sh N. Sourced by the run.sh of each case; `here` is the case's folder.
set -eu
root=$(cd "$here/../.." && pwd)
number=$(basename "$here")
program=$root/build-review/case$number
# The command of the deploy file, from the root of the repository.
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*$/\1/p' "$root/deploy/balancer.toml")
export RUN_COMMAND TROUBLE="${TROUBLE:-1}"
if [ -z "$RUN_COMMAND" ] || [ ! -x "$program" ] || [ ! -x "$root/build/jasperspread" ]; then
    echo "build first: the command of the deploy file, then review/build.sh" >&2
    exit 2
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$root"
status=0
timeout -k 2 115 "$program" "$here/record.txt" "$work" || status=$?
if [ -n "${KEEP_LOGS:-}" ]; then cp -r "$work/." "$KEEP_LOGS"; fi
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
