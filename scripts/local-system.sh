# Sourced by scripts that need a small system on loopback. Ports from base upwards; everything ends with the script.
# Sets: work (directory of settings and logs), log_url. Functions: run, settings, start_daemon, ctl, stop_all.
work=$(mktemp -d)
pids=()
log_url="http://127.0.0.1:$((base))"

stop_all() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap stop_all EXIT

# run COMMAND...: starts it in the background and remembers its process id.
run() { "$@" >"$work/out.${#pids[@]}" 2>&1 & pids+=($!); }

ctl() { build/wisteriashuntctl --log="$log_url" "$@"; }

# settings ROLE INSTANCE PORT ADMIN_PORT [ENDPOINT URL]
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

# wait_for_instances N: until the platform's list names N instances.
wait_for_instances() {
    until [ "$(curl -s "$log_url/v1/instances" | grep -o adminPort | wc -l)" = "$1" ]; do sleep 0.1; done
}

# wait_until_ready ADMIN_PORT
wait_until_ready() { until curl -sf "http://127.0.0.1:$1/readyz" >/dev/null; do sleep 0.1; done; }
