#!/usr/bin/env bash
# Runs the whole system as separate processes on loopback: the emulated platform,
# backend servers, entries, samphirectl and callers. Stops one entry gracefully under
# load and, with --kill, kills another with SIGKILL. Ends every process that it
# started.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
pids=()
finish() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	rm -rf "$dir"
}
trap finish EXIT
for m in entry ctl standin; do go build -o "$dir/$m" "./$m"; done
"$dir/standin" platform --address 127.3.9.1:2379 >"$dir/platform.log" & pids+=($!)
{
	echo "environment: trial"
	echo "failure-domains: [{name: north, region: loop}, {name: south, region: loop}]"
	echo "services:"
	echo "  - name: catalogue"
	echo "    shedding-statuses: [503]"
	echo "    echoes-request-id: true"
	echo "    routes:"
	echo "      - {name: lookup, method: GET, path-prefix: /catalogue/, idempotent: true, time-limit: 2s}"
	echo "      - {name: reserve, method: POST, path-prefix: /catalogue/, time-limit: 2s}"
	echo "    versions: [{name: v1, share: 100}]"
	echo "    backend-servers:"
	for i in 1 2 3 4 5 6; do
		domain=north
		if [ $((i % 2)) = 0 ]; then domain=south; fi
		echo "      - {name: catalogue-$i, address: '127.3.10.$i:8000', failure-domain: $domain, version: v1}"
	done
} >"$dir/trial.yaml"
for i in 1 2 3 4 5 6; do
	"$dir/standin" backend --name "catalogue-$i" --address "127.3.10.$i:8000" >"$dir/backend-$i.log" & pids+=($!)
done
entries=()
for i in 1 2 3 4; do
	domain=north
	if [ $((i % 2)) = 0 ]; then domain=south; fi
	cat >"$dir/entry-$i.yaml" <<YAML
id: entry-$i
environment: trial
failure-domain: $domain
caller-address: 127.3.1.$i:8080
link-address: 127.3.1.$i:8081
admin-address: 127.3.1.$i:9090
store-addresses: ['http://127.3.9.1:2379']
peers: ['127.3.1.1:8081', '127.3.1.2:8081', '127.3.1.3:8081', '127.3.1.4:8081']
YAML
	"$dir/entry" --settings "$dir/entry-$i.yaml" 2>"$dir/entry-$i.log" & entries+=($!); pids+=($!)
done
sleep 2
export SAMPHIRE_STORE=http://127.3.9.1:2379
"$dir/ctl" apply "$dir/trial.yaml"
sleep 4
cat >"$dir/load.yaml" <<YAML
entries: ['127.3.1.1:8080', '127.3.1.2:8080', '127.3.1.3:8080', '127.3.1.4:8080']
length: 14s
services:
  - {name: catalogue, path: /catalogue/, per-second: 100, writes: 0.3, keyed: true, work-mean: 12ms, work-p99: 60ms}
YAML
"$dir/standin" load "$dir/load.yaml" --csv "$dir/load.csv" & load=$!; pids+=($!)
sleep 4
echo "entry 1 is stopped gracefully"
kill -TERM "${entries[0]}"
if [ "${1:-}" = "--kill" ]; then
	sleep 3
	echo "entry 2 is killed"
	kill -KILL "${entries[1]}"
fi
wait "$load"
"$dir/ctl" status trial
"$dir/ctl" history trial
