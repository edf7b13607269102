# Sourced by scripts that need a small system on loopback. Set `base` first: the lowest port, which the stand-in platform uses.
# All processes that `run` started are stopped when the script exits.
# Sets: work (directory of settings and logs), pids, log_url. Functions: run, ctl, settings, start_daemon, wait_for_instances,
# wait_until_ready, stop_all.
work=$(mktemp -d)
pids=()
log_url="http://127.0.0.1:$((base))"

stop_all() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap stop_all EXIT

# run COMMAND...: starts the command in the background and adds its process id to `pids`.
run() { "$@" >"$work/out.${#pids[@]}" 2>&1 & pids+=($!); }

ctl() { build/wisteriashuntctl --log="$log_url" "$@"; }

# settings ROLE INSTANCE PORT ADMIN_PORT [ENDPOINT URL]: writes the settings file of a daemon.
settings() {
    cat >"$work/$2.yaml" <<YAML
role: $1
instance: $2
zone: bc-coast-1
listen: {address: 127.0.0.1, port: $3}
admin: {address: 127.0.0.1, port: $4}
platform: {log: "$log_url", instances: "$log_url"}
peerKeys: [{name: local, secret: a-secret-for-loopback}]
logging: {file: $work/$2.log, console: false}
YAML
    if [ "$1" = endpoint ]; then echo "endpoint: {name: $5, url: \"$6\"}" >>"$work/$2.yaml"; fi
}

start_daemon() { run build/wisteriashuntd --config="$work/$1.yaml"; }

# wait_for_instances N: waits until the platform lists N instances.
wait_for_instances() {
    until [ "$(curl -s "$log_url/v1/instances" | grep -o adminPort | wc -l)" = "$1" ]; do sleep 0.1; done
}

# wait_until_ready ADMIN_PORT: waits until the daemon reports that it is ready.
wait_until_ready() { until curl -sf "http://127.0.0.1:$1/readyz" >/dev/null; do sleep 0.1; done; }
