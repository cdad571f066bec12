#!/usr/bin/env bash
# Demonstrates the whole request path on loopback: stand-ins for the platform,
# four engines and two plain services, an agent for each engine and service, and
# three routers in three zones. Exits non-zero if any step fails. Stops the
# processes that it started by their process ids.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly demo=examples/demo
readonly operators=http://127.0.1.1:7550
readonly wait_limit_seconds=20
readonly withdrawal_limit_ms=3000
logs=$(mktemp -d)
process_names=()
pids=()

step() { printf '\n== %s\n' "$*"; }

fail() {
  tail -q -n 2 "$logs"/*.log >&2 || true
  echo "demo: FAILED: $*" >&2
  exit 1
}

start() { # name program settings
  "bin/$2" -config "$demo/$3" >"$logs/$1.log" 2>&1 &
  process_names+=("$1")
  pids+=($!)
}

kill_all() {
  for pid in "${pids[@]}"; do
    disown "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  rm -rf "$logs"
}
trap kill_all EXIT

wait_until_ready() { # url description
  local deadline=$((SECONDS + wait_limit_seconds))
  until curl -sf -o /dev/null "$1"; do
    [ "$SECONDS" -lt "$deadline" ] || fail "$2 not ready"
    sleep 0.1
  done
}

now_ms() { date +%s%3N; }

# Sends a prompt and writes the streamed response to stdout.
prompt() { # router_ip key max_tokens
  curl -sSf -N --retry 5 --max-time 60 -H "Authorization: Bearer $2" \
    -d "{\"model\":\"harbour-7b\",\"prompt\":\"$long_prompt\",\"max_tokens\":$3,\"stream\":true,\"stream_options\":{\"include_usage\":true}}" \
    "http://$1:7500/v1/completions"
}

# Posts a charge and writes the response headers to a file.
charge() { # router_ip idempotency_key header_file
  curl -sSf -D "$3" --retry 5 --max-time 20 -H 'Authorization: Bearer demo-agent-key' -H "Idempotency-Key: $2" \
    -H 'Content-Type: application/json' -d '{"id":"berth-17","account":"vessel-9","amount":125}' \
    "http://$1:7500/charges"
}

long_prompt=$(printf 'harbour tariff rules %.0s' {1..1200})

step "starting stand-ins, agents and routers"
start standin greengage-standin standin.ini
wait_until_ready http://127.0.0.1:7409/healthz stand-ins
for agent in engine-1 engine-2 engine-3 engine-4 billing-1 billing-2; do
  start "agent-$agent" greengage-agent "agent-$agent.ini"
done
for router in router-a router-b router-c; do start "$router" greengage-router "$router.ini"; done
for number in 1 2 3; do wait_until_ready "http://127.0.$number.1:7800/healthz" "router in zone $number"; done

step "publishing $demo/config"
bin/greengagectl publish -server "$operators" "$demo/config" || fail "publish"
for number in 1 2 3; do wait_until_ready "http://127.0.$number.1:7800/readyz" "router in zone $number"; done

step "a streamed prompt through router-a, then the same through router-b"
for ip in 127.0.1.1 127.0.2.1; do
  prompt "$ip" demo-agent-key 8 >"$logs/stream" || fail "prompt through $ip"
  grep -q '^data: \[DONE\]' "$logs/stream" || fail "stream through $ip is not whole: $(cat "$logs/stream")"
  head -n 1 "$logs/stream"
  grep -o '"usage":.*' "$logs/stream"
done

step "a charge through router-b, and its repeat through router-c"
charge 127.0.2.1 charge-1 "$logs/header-1" >"$logs/charge-1" || fail "charge"
charge 127.0.3.1 charge-1 "$logs/header-2" >"$logs/charge-2" || fail "repeated charge"
for response in "$logs/charge-1" "$logs/charge-2"; do
  cat "$response"
  echo
done
cmp -s "$logs/charge-1" "$logs/charge-2" || fail "the repeat got another answer than the first call"
grep -qi '^X-Greengage-Replayed: true' "$logs/header-2" || fail "the repeat was not answered from the first call"

step "withdrawing a key during a running stream"
prompt 127.0.3.1 demo-pilot-key 4000 >"$logs/withdrawn" &
stream=$!
deadline=$((SECONDS + wait_limit_seconds))
until grep -q '^data:' "$logs/withdrawn"; do
  [ "$SECONDS" -lt "$deadline" ] || fail "the stream did not start"
  sleep 0.1
done
mkdir "$logs/edit"
sed 's/state: active/state: withdrawn/' >"$logs/edit/key.yaml" <<EOF
kind: Key
name: pilot-1
spec:
  customer: pilots
  sha256: $(printf demo-pilot-key | sha256sum | cut -d' ' -f1)
  state: active
EOF
sent_ms=$(now_ms)
bin/greengagectl publish -server "$operators" "$logs/edit" || fail "withdrawal"
wait "$stream" || fail "the stream broke without an answer"
elapsed_ms=$(($(now_ms) - sent_ms))
grep -q 'event: error' "$logs/withdrawn" || fail "the stream went on to its end"
tail -n 3 "$logs/withdrawn"
echo "the stream of the withdrawn key stopped ${elapsed_ms} ms after the withdrawal was sent"
[ "$elapsed_ms" -lt "$withdrawal_limit_ms" ] || fail "the withdrawal took too long"
status=$(curl -s -o /dev/null -w '%{http_code}' -H 'Authorization: Bearer demo-pilot-key' -d '{"model":"harbour-7b","prompt":"x"}' http://127.0.1.1:7500/v1/completions)
[ "$status" = 401 ] || fail "a withdrawn key was answered with $status"

step "status"
bin/greengagectl status -server "$operators" || fail "status"

# Sends SIGTERM to the processes from the last one started down to the one at index
# position, which counts from 0, and then waits for all of them.
stop_down_to() { # position
  local i
  for ((i = ${#pids[@]} - 1; i >= $1; i--)); do kill -TERM "${pids[i]}"; done
  for ((i = ${#pids[@]} - 1; i >= $1; i--)); do
    wait "${pids[i]}" || fail "${process_names[i]} did not stop gracefully"
  done
  pids=("${pids[@]:0:$1}")
}

step "stopping routers and agents, then the stand-ins"
stop_down_to 1
stop_down_to 0
echo "all processes stopped gracefully"
