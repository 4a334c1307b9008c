#!/usr/bin/env bash
# Starts stand-ins for the platform and three entry instances as separate processes on loopback, and runs example commands.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'kill $(jobs -p) 2>/dev/null; wait 2>/dev/null; rm -rf "$dir"' EXIT

bin/standin store -listen 127.0.0.1:7900 &
bin/standin instances -listen 127.0.0.1:7901 &
sleep 1
for i in $(seq 0 7); do
	bin/standin worker -listen 127.0.0.1:$((7910 + i)) -list 127.0.0.1:7901 -id "worker-$i" -datacentre attica-1 -rack rack-1 &
done
bin/standin runner -listen 127.0.0.1:7950 -list 127.0.0.1:7901 -id runner-0 -datacentre attica-1 -service catalogue -work 5ms &
for i in 0 1 2; do
	peers=""
	for k in 0 1 2; do
		[ "$k" = "$i" ] || peers="$peers, 127.0.0.1:$((7002 + 10 * k))"
	done
	sed -e "s/@NAME@/entry-$i/; s/@CALLERS@/$((7000 + 10 * i))/; s/@OPERATORS@/$((7001 + 10 * i))/; s/@PEERPORT@/$((7002 + 10 * i))/; s/@PEERS@/${peers#, }/" examples/entry.ini >"$dir/entry-$i.ini"
	bin/jujubegrade serve -settings "$dir/entry-$i.ini" 2>"$dir/entry-$i.log" &
done

export JUJUBEGRADE_TOKEN=operator-secret
cat >"$dir/config.ini" <<'C'
[DataCentre "attica-1"]
[ClientAccount "monasteries"]
RequestShare = 0.5
[ClientAccount "kiosks"]
RequestShare = 0.5
[Guarantee "renders"]
Account = monasteries
DataCentre = attica-1
Shape = 4x8/Rack
[Service "catalogue"]
Timeout = 5s
C
show() {
	echo
	echo "\$ jujubegrade $*"
	bin/jujubegrade "$@"
}
until bin/jujubegrade config apply -note "first configuration" "$dir/config.ini" 2>/dev/null; do sleep 0.5; done
until bin/jujubegrade report guarantees 2>/dev/null | grep -q held; do sleep 0.5; done
show config status
show account list
show job submit -account kiosks -key tour-1 -shape 8x8 -idempotent -runtime 1m -payload '{"RunTime": 60000000000}'
sleep 1
show job submit -account monasteries -key tour-2 -shape 4x8/Rack -urgent -payload '{"RunTime": 2000000000}'
sleep 4
show job list
show report guarantees
show report fragmentation
show timeline
echo
echo '$ curl .../service/catalogue/price?Account=kiosks'
curl -s -i -H "Authorization: Bearer $JUJUBEGRADE_TOKEN" -H 'Jujubegrade-Idempotent: true' 'http://127.0.0.1:7010/service/catalogue/price?Account=kiosks'
echo
