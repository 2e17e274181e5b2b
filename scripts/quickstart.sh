#!/usr/bin/env bash
# Shows the main job on a fresh machine: installs what is missing, builds, starts stand-ins and two proxies on
# loopback, writes through one proxy, reads that write through the other, and changes one settings node.
#
#   scripts/quickstart.sh          ends everything it started and exits 0
#   scripts/quickstart.sh --keep   leaves the estate running until Enter or Ctrl-C and prints how to connect
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/lib/estate.sh
. scripts/lib/estate.sh
# shellcheck source=scripts/lib/demo.sh
. scripts/lib/demo.sh

keep=false
case "${1:-}" in
    "") ;;
    --keep) keep=true ;;
    *) echo "usage: scripts/quickstart.sh [--keep]" >&2; exit 2 ;;
esac

scripts/install-packages.sh
build="${CORALHOIST_BUILD:-build}"
echo "Building (the first time takes some minutes) ..."
cmake -S . -B "$build" -G Ninja >"$build.configure.log" 2>&1 || { cat "$build.configure.log"; exit 1; }
ninja -C "$build" coralhoistd coralhoistctl coralhoist-lab >"$build.ninja.log" 2>&1 ||
    { tail -n 40 "$build.ninja.log"; exit 1; }

estate_begin
demo_start_group --max-connections 35 --connection-cost 10 --slots 5
demo_start_platform
demo_start_proxy proxy-1 zone-a
demo_start_proxy proxy-2 zone-b --seeds "127.0.0.1:$(estate_value proxy-1 peer_port)"
demo_wait_ready proxy-1 30
demo_wait_ready proxy-2 30
echo
echo "Running: a platform, database group '$demo_group' (servers s1, s2, s3), proxies proxy-1 and proxy-2."
echo
echo "1. A session writes through proxy-1 and reads its write through proxy-2:"
demo_sql proxy-1 "INSERT INTO approvals VALUES (1, 'bus 17', 120)"
echo "   proxy-1  INSERT INTO approvals VALUES (1, 'bus 17', 120)"
rows=$(demo_sql proxy-2 "SELECT * FROM approvals")
echo "   proxy-2  SELECT * FROM approvals  ->  $rows"
[ "$rows" = "1|bus 17|120" ]

echo
echo "2. One settings node is changed; both proxies have it in force:"
"$estate_bin/coralhoistctl" --proxy "$(demo_operator proxy-1)" \
    settings set "estate/$demo_group/$demo_service" timeout.statement=7s --wait
for proxy in proxy-1 proxy-2; do
    value=$("$estate_bin/coralhoistctl" --proxy "$(demo_operator "$proxy")" \
        settings effective "estate/$demo_group/$demo_service" | grep 'timeout.statement')
    echo "   $proxy: $value"
    echo "$value" | grep -q '7s'
done

echo
echo "3. The estate as proxy-1 sees it:"
"$estate_bin/coralhoistctl" --proxy "$(demo_operator proxy-1)" status | sed 's/^/   /'
echo
if $keep; then
    echo "Connect:  PGAPPNAME=$demo_service psql -h 127.0.0.1 -p $(estate_value proxy-1 caller_port) -U app -d $demo_group"
    echo "Operate:  $estate_bin/coralhoistctl --proxy $(demo_operator proxy-1) status"
    echo "Break:    curl -d '{\"action\": \"cut\", \"server\": \"s1\"}' $demo_control/fault"
    echo "Press Enter to end everything."
    read -r _ || true
fi
echo "Done: everything that was started is being ended."
