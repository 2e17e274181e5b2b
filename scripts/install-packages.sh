#!/usr/bin/env bash
# Installs the Debian packages named in packages.txt, when any of them is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
packages=$(sed -e 's/#.*//' -e '/^\s*$/d' packages.txt)
missing=$(for package in $packages; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || echo "$package"
done)
[ -z "$missing" ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo="sudo"
$sudo apt-get update -qq
# shellcheck disable=SC2086
$sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $missing >/dev/null
