#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the disruption. KEEP_LOGS=FOLDER: copies the proxies' logs there.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
proxy="$root/target/bin/coralhoist-platform"
if [ ! -x "$proxy" ]; then
    echo "build the proxy first, as deploy/system.toml says" >&2
    exit 2
fi
"$root/review/build.sh" || exit 2
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
# The proxies are told to end with their parent.
timeout -k 1 115 "$root/target/review/case-$(basename "$here")" "$proxy" "$folder" "$here/record.txt"
code=$?
if [ -n "${KEEP_LOGS:-}" ]; then
    cp "$folder"/*.log "$KEEP_LOGS"/
fi
case "$code" in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
