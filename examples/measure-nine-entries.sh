#!/usr/bin/env bash
# Runs nine entries, a store, a plain service and nine engines as processes on loopback and prints
# the store's calls, the entries' processor time and their memory over 30 s at rest.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build -q --release --workspace
bin=target/release
work=$(mktemp -d)
trap 'kill $(jobs -p) 2>/dev/null; wait; rm -rf "$work"' EXIT

"$bin/standin" --listen 127.0.0.1:7300 store >/dev/null &
"$bin/standin" --listen 127.0.0.1:7310 plain >/dev/null &
sleep 0.5
entries=()
for domain in riga-a riga-b jelgava; do
  for number in 1 2 3; do
    "$bin/standin" engine --store 127.0.0.1:7300 --instance "$domain-$number" \
      --failure-domain "$domain" --fabric-domain "$domain-1" >/dev/null &
    entry=$((${#entries[@]} + 1))
    sed "s/entry-1/entry-$entry/; s/\"failure_domain\": .*,/\"failure_domain\": \"$domain\",/
      s/127.0.0.1:711/127.0.0.1:72$entry/" examples/settings/entry-1.json >"$work/$entry.json"
    "$bin/rhubarblatchd" "$work/$entry.json" >/dev/null 2>"$work/$entry.log" &
    entries+=("$!")
  done
done
sleep 3
"$bin/rhubarblatch" --settings examples/settings/rhubarblatch.json --entry 127.0.0.1:7211 \
  apply --wait examples/declarations
sleep 45

ticks() {
  local sum=0 entry
  for entry in "${entries[@]}"; do
    sum=$((sum + $(awk '{ print $14 + $15 }' "/proc/$entry/stat")))
  done
  echo "$sum"
}

before=$(ticks)
curl -s http://127.0.0.1:7300/counts && echo
sleep 30
curl -s http://127.0.0.1:7300/counts && echo
echo "processor time of 9 entries in 30 s: $(($(ticks) - before)) ticks of 10 ms"
for entry in "${entries[@]}"; do
  grep VmRSS "/proc/$entry/status"
done | awk '{ sum += $2 } END { print "mean resident memory: " sum / NR " KiB" }'
