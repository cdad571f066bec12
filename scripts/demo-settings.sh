#!/usr/bin/env bash
# Writes the settings files of the demo's routers and agents to examples/demo.
set -euo pipefail
cd "$(dirname "$0")/../examples/demo"

key="demo-membership-key-change-me"
seeds="127.0.1.1:7700, 127.0.2.1:7700, 127.0.3.1:7700"

common() { # section name zone ip inner_port membership_port admin_port
  cat <<EOF
[$1]
name = $2
zone = $3
region = r1

[inner]
listen = $4:$5

[membership]
listen = $4:$6
seeds = $seeds
key = $key

[admin]
listen = $4:$7

[store]
url = http://127.0.0.1:7400

[stop]
drain_delay = 1s
timeout = 60s
EOF
}

router() { # name zone ip
  {
    echo "; Settings of the demo router $1 in zone $2."
    echo "; Written by scripts/demo-settings.sh; do not edit."
    common router "$1" "$2" "$3" 7600 7700 7800
    cat <<EOF

[callers]
listen = $3:7500

[operators]
listen = $3:7550

[placement]
policy = prefix
import = true
zone_delay = 3ms
EOF
  } > "$1.ini"
}

# The membership port of an agent is its inner port + 100, its admin port + 200.
agent() { # upstream kind zone ip inner_port url
  {
    echo "; Settings of the demo agent for upstream $1 in zone $3."
    echo "; Written by scripts/demo-settings.sh; do not edit."
    common agent "agent-$1" "$3" "$4" "$5" "$(($5 + 100))" "$(($5 + 200))"
    cat <<EOF

[upstream]
name = $1
kind = $2
url = $6
EOF
  } > "agent-$1.ini"
}

router router-a a 127.0.1.1
router router-b b 127.0.2.1
router router-c c 127.0.3.1
agent engine-1 engine a 127.0.1.1 7601 http://127.0.0.1:7411
agent engine-2 engine b 127.0.2.1 7602 http://127.0.0.1:7412
agent engine-3 engine c 127.0.3.1 7603 http://127.0.0.1:7413
agent engine-4 engine a 127.0.1.1 7604 http://127.0.0.1:7414
agent billing-1 service a 127.0.1.1 7611 http://127.0.0.1:7421
agent billing-2 service b 127.0.2.1 7612 http://127.0.0.1:7422
