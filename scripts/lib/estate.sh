# Shell functions that start and stop an estate of stand-ins and proxies on loopback. Sourced, not run.
#
# Every process's output is kept in $estate_folder; its process id in the array estate_processes.

estate_processes=()
estate_bin="${CORALHOIST_BUILD:-build}/bin"

# estate_begin: makes the folder for logs and stops everything when the shell exits.
estate_begin() {
    estate_folder="$(mktemp -d "${TMPDIR:-/tmp}/coralhoist-estate.XXXXXX")"
    trap estate_stop EXIT
}

# estate_stop: asks every started process to stop, waits for each, and removes the folder on success.
estate_stop() {
    local status=$? process
    trap - EXIT
    for process in "${estate_processes[@]}"; do
        kill -TERM "$process" 2>/dev/null || true
    done
    for process in "${estate_processes[@]}"; do
        wait "$process" 2>/dev/null || true
    done
    if [ "$status" -eq 0 ]; then
        rm -rf "$estate_folder"
    else
        echo "logs are in $estate_folder" >&2
    fi
    exit "$status"
}

# estate_start NAME COMMAND...: starts a process and waits for its first line of output, a JSON object.
estate_start() {
    local name="$1" attempt
    shift
    "$@" >"$estate_folder/$name.out" 2>"$estate_folder/$name.log" &
    local process=$!
    estate_processes+=("$process")
    for attempt in $(seq 600); do
        [ -s "$estate_folder/$name.out" ] && return 0
        if ! kill -0 "$process" 2>/dev/null; then
            break
        fi
        sleep 0.05
    done
    echo "$name did not start; its log:" >&2
    tail -n 20 "$estate_folder/$name.log" >&2
    return 1
}

# estate_value NAME KEY: prints a value of the JSON line that a process printed at its start.
estate_value() {
    head -n 1 "$estate_folder/$1.out" | sed -E "s/.*\"$2\": *\"?([^,\"}]*)\"?.*/\1/"
}
