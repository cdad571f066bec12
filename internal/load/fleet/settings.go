package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

const membershipKey = "load-membership-key-not-a-secret"

// writeSettings writes a settings file and returns its path.
func (o Options) writeSettings(name, text string) (string, error) {
	path := filepath.Join(o.WorkDir, name+".ini")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

func (o Options) commonSettings(section string, p place) string {
	routers, _, _ := o.places()
	var seeds []string
	for _, router := range routers {
		seeds = append(seeds, router.at(portMembership))
	}
	return fmt.Sprintf(`[log]
level = info

[%s]
name = %s
zone = %s
region = region-1

[inner]
listen = %s
advertise = %s
bind_source = true

[store]
url = http://%s

[membership]
listen = %s
seeds = %s
key = %s

[admin]
listen = %s

[stop]
drain_delay = 1s
timeout = 60s
`, section, p.name, p.zoneName(), p.at(portInner), p.advertised(o.Direct), o.standin(portPlatform),
		p.at(portMembership), strings.Join(seeds, ", "), membershipKey, p.at(portAdmin))
}

func (o Options) routerSettings(p place) string {
	return o.commonSettings("router", p) + fmt.Sprintf(`
[callers]
listen = %s

[operators]
listen = %s

[placement]
policy = %s
import = %t
zone_delay = %s
`, p.at(portCallers), p.at(portOperators), o.Policy, o.Import, 2*o.Scenario.ZoneDelay)
}

func (o Options) agentSettings(p place, kind string) string {
	return o.commonSettings("agent", p) + fmt.Sprintf(`
[upstream]
name = %s
kind = %s
url = http://%s
`, p.name, kind, p.at(portUpstream))
}

func (o Options) standinSettings() string {
	routers, engines, services := o.places()
	var hosts []string
	for _, group := range [][]place{routers, engines, services} {
		for _, p := range group {
			hosts = append(hosts, p.advertised(o.Direct)+" "+p.zoneName())
		}
	}
	return fmt.Sprintf(`[log]
level = info

[admin]
listen = %s

[platform]
listen = %s
latency = 2ms
host_lag = 5s
hosts = %s

[kvstore]
blocks = 800
tokens_per_second = 150000
latency = 5ms

[engines]
listen = %s
weights = %s
seed = %d
block_tokens = %d
prefill_tokens_per_second = %f
decode_base = %s
load_time = %s
loads_at_once = %d
poison_marker = %s

[services]
listen = %s
`, o.standin(portStandin), o.standin(portPlatform), strings.Join(hosts, ", "), upstreams(engines), weights,
		o.Seed, o.Scenario.BlockTokens, o.PrefillRate, o.DecodeBase, o.Scenario.LoadTime, o.Scenario.LoadsAtOnce,
		PoisonMarker, upstreams(services))
}

// PoisonMarker in a prompt crashes the engine stand-in that runs it.
const PoisonMarker = "<<crash-this-engine>>"

func upstreams(places []place) string {
	var addresses []string
	for _, p := range places {
		addresses = append(addresses, p.at(portUpstream))
	}
	return strings.Join(addresses, ", ")
}
