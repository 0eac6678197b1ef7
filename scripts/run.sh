#!/usr/bin/env bash
# Starts the stand-ins and six hosts in three failure domains as processes of
# their own, sends both users' mixes for 20 s with one host killed and the log
# down for some seconds, stops everything and prints the verdict.
# Ports: 17000 and up on 127.0.0.1. Programs: bin/, made by 'make build'.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=run
rm -rf "$dir"
mkdir -p "$dir"
pids=()
host_pids=()
stop() { for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null || true; done; wait 2>/dev/null || true; }
trap stop EXIT

base=17000
log=127.0.0.1:$((base + 90))
members=127.0.0.1:$((base + 91))
list=() targets=()

standin() { # KIND ADDRESS ARGS...
	local kind=$1 addr=$2
	shift 2
	bin/maststandin "$kind" -listen "$addr" "$@" 2>"$dir/standin-${addr##*:}.log" &
	pids+=($!)
}

target() { # NAME KIND POOL DOMAIN SLOTS EACH
	local addr=127.0.0.1:$((base + 50 + ${#targets[@]}))
	standin "$2" "$addr" -name "$1" -slots "$5" -each "$6"
	targets+=("$addr")
	list+=(-member "$1,$addr,$2,$3,$4,$5")
}

for i in 0 1 2 3; do target "diet-$i" engine diet "domain-$((i % 3))" 16 10ms; done
for i in 0 1 2; do target "order-$i" service orders "domain-$i" 16 15ms; done
for i in 0 1 2 3; do target "marking-$i" engine marking "domain-$((i % 3))" 16 10ms; done
for i in 0 1; do target "exam-$i" service exam "domain-$i" 16 10ms; done
for i in 0 1; do target "session-$i" engine sessions "domain-$i" 64 200ms; done
for i in 0 1 2 3 4 5; do
	list+=(-member "host-$i,127.0.0.1:$((base + 10 + i)),host,,domain-$((i % 3)),0")
done
standin log "$log"
standin members "$members" "${list[@]}"

hosts=()
for i in 0 1 2 3 4 5; do
	cat >"$dir/host-$i.ini" <<INI
[host]
name = host-$i
domain = domain-$((i % 3))
listen = 127.0.0.1:$((base + i))
peer_listen = 127.0.0.1:$((base + 10 + i))
peer_address = 127.0.0.1:$((base + 10 + i))
first_key_sha256 = $(printf %s operator-demo-key | bin/maststage hash)

[platform]
log = $log
members = $members

[peers]
secret = demo-secret-of-the-hosts
INI
	bin/maststaged -config "$dir/host-$i.ini" 2>"$dir/host-$i.log" &
	pids+=($!)
	disown $!
	host_pids+=($!)
	hosts+=("127.0.0.1:$((base + i))")
done

cat examples/petfood.ini examples/examora.ini examples/operators.ini >"$dir/declarations.ini"
export MASTSTAGE_KEY=operator-demo-key MASTSTAGE_HOST=${hosts[0]}
ready=no
for _ in $(seq 100); do
	n=$(bin/maststage hosts 2>/dev/null | grep -c ' live ' || true)
	[ "$n" = 6 ] && ready=yes && break
	sleep 0.1
done
[ $ready = yes ] || { echo "the hosts did not come up, see $dir/"; exit 1; }
bin/maststage apply "$dir/declarations.ini"

join() { local IFS=,; echo "$*"; }
bin/mastload -hosts "$(join "${hosts[@]}")" -targets "$(join "${targets[@]}")" -log "$log" \
	-declarations "$dir/declarations.ini" -keys pet-food=pet-food-demo-key,examora=examora-demo-key \
	-for 20s >"$dir/mastload.txt" &
load=$!

sleep 5
echo "host-4 is killed"
kill -KILL "${host_pids[4]}"
sleep 5
echo "the log goes down"
bin/maststandin switch "$log" down=1
sleep 4
echo "the log is back"
bin/maststandin switch "$log" down=0
status=0
wait "$load" || status=$?

echo
echo "budgets:"
bin/maststage budgets
echo
cat "$dir/mastload.txt"
exit $status
