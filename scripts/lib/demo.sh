# The estate of the quick start: a platform, one database group of three servers, two proxies. Sourced after
# estate.sh by scripts/quickstart.sh and by the end-to-end tests.

demo_group="ledger"
demo_service="terminals"
demo_status_query='SELECT pg_is_in_recovery(), coralhoist_term(), coalesce(pg_last_wal_receive_lsn(), pg_current_wal_lsn()), coalesce(pg_last_wal_replay_lsn(), pg_current_wal_lsn())'

# demo_start_group [FLAGS...]: starts the database group with one table; remembers its control address.
demo_start_group() {
    cat >"$estate_folder/init.sql" <<'SQL'
CREATE TABLE approvals (id bigint PRIMARY KEY, card text NOT NULL, litres bigint NOT NULL);
SQL
    estate_start database "$estate_bin/coralhoist-lab" database --init-sql "$estate_folder/init.sql" \
        --server s1:zone-a --server s2:zone-b --server s3:zone-c "$@"
    demo_servers=$(head -n 1 "$estate_folder/database.out" |
        grep -oE '"address":"[^"]*","name":"s[0-9]","port":[0-9]+,"zone":"[^"]*"' |
        sed -E 's/"address":"([^"]*)","name":"([^"]*)","port":([0-9]+),"zone":"([^"]*)"/"\2=\1:\3@\4"/' |
        paste -sd, -)
    demo_control=$(head -n 1 "$estate_folder/database.out" |
        sed -E 's/.*"control":\{"address":"([^"]*)","port":([0-9]+)\}.*/http:\/\/\1:\2/')
}

# demo_start_platform: starts the platform with the settings of the estate, the group and one service.
demo_start_platform() {
    cat >"$estate_folder/initial.json" <<JSON
{"nodes": [
  {"path": "estate", "document": {"status.query": "$demo_status_query"}},
  {"path": "estate/$demo_group", "document": {"group.servers": [$demo_servers], "placement.active_owners": 1}},
  {"path": "estate/$demo_group/$demo_service", "document": {"routing.reads": "replica", "admission.priority": "urgent"}}
]}
JSON
    estate_start platform "$estate_bin/coralhoist-lab" platform --initial "$estate_folder/initial.json"
    demo_platform="http://$(estate_value platform address):$(estate_value platform port)"
}

# demo_start_proxy NAME ZONE [FLAGS...]: starts one proxy on ports that the kernel chooses.
demo_start_proxy() {
    local name="$1" zone="$2"
    shift 2
    estate_start "$name" "$estate_bin/coralhoistd" --name "$name" --zone "$zone" --platform "$demo_platform" \
        --caller-port 0 --peer-port 0 --operator-port 0 --metrics-port 0 "$@"
}

# demo_operator NAME: prints the operator address of a proxy.
demo_operator() {
    echo "$(estate_value "$1" address):$(estate_value "$1" operator_port)"
}

# demo_sql NAME SQL...: runs statements in one session through a proxy; prints unaligned rows.
demo_sql() {
    local name="$1" argument
    local -a commands=()
    shift
    for argument in "$@"; do
        commands+=(-c "$argument")
    done
    PGAPPNAME="$demo_service" PGCONNECT_TIMEOUT=10 psql -X -q -A -t -v ON_ERROR_STOP=1 -v VERBOSITY=verbose \
        -h "$(estate_value "$name" address)" -p "$(estate_value "$name" caller_port)" -U app -d "$demo_group" \
        "${commands[@]}"
}

# demo_wait_ready NAME SECONDS: waits until the proxy serves statements of the group.
demo_wait_ready() {
    local name="$1" deadline=$((SECONDS + $2))
    until demo_sql "$name" "SELECT 1" >/dev/null 2>"$estate_folder/$name.ready"; do
        if [ "$SECONDS" -ge "$deadline" ]; then
            echo "$name is not ready: $(cat "$estate_folder/$name.ready")" >&2
            return 1
        fi
        sleep 0.1
    done
}
