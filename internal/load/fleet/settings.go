package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// membershipKey authenticates the membership messages. It only serves local processes.
const membershipKey = "load-membership-key-not-a-secret"

// writeSettings writes a settings file in WorkDir and returns its path.
func (o Options) writeSettings(name, text string) (string, error) {
	path := filepath.Join(o.WorkDir, name+".ini")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// commonSettings returns the sections that routers and agents have in common. The
// routers are the seeds of the membership.
func (o Options) commonSettings(section string, p instance) string {
	routers, _, _ := o.instances()
	var seeds []string
	for _, router := range routers {
		seeds = append(seeds, router.address(portMembership))
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
`, section, p.name, p.zoneName(), p.address(portInner), p.advertisedAddress(o.WithoutRelays), o.standinAddress(portPlatform),
		p.address(portMembership), strings.Join(seeds, ", "), membershipKey, p.address(portAdmin))
}

// routerSettings returns the settings of a router. Its zone delay is a round trip,
// which is twice the scenario's one-way delay.
func (o Options) routerSettings(p instance) string {
	return o.commonSettings("router", p) + fmt.Sprintf(`
[callers]
listen = %s

[operators]
listen = %s

[placement]
policy = %s
import = %t
zone_delay = %s
`, p.address(portCallers), p.address(portOperators), o.Policy, o.Import, 2*o.Scenario.OneWayZoneDelay)
}

// agentSettings returns the settings of an agent whose upstream is of this kind.
func (o Options) agentSettings(p instance, kind string) string {
	return o.commonSettings("agent", p) + fmt.Sprintf(`
[upstream]
name = %s
kind = %s
url = http://%s
`, p.name, kind, p.address(portUpstream))
}

// standinSettings returns the settings of the process that runs all stand-ins. The
// platform stand-in reports the advertised addresses as its hosts.
func (o Options) standinSettings() string {
	routers, engines, services := o.instances()
	var hosts []string
	for _, group := range [][]instance{routers, engines, services} {
		for _, p := range group {
			hosts = append(hosts, p.advertisedAddress(o.WithoutRelays)+" "+p.zoneName())
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
`, o.standinAddress(portStandin), o.standinAddress(portPlatform), strings.Join(hosts, ", "), upstreamAddresses(engines), weightsVersion,
		o.Seed, o.Scenario.BlockTokens, o.PrefillRate, o.DecodeBase, o.Scenario.WeightLoadTime, o.Scenario.FullSpeedLoads,
		PoisonMarker, upstreamAddresses(services))
}

// PoisonMarker in a prompt crashes the engine stand-in that runs it.
const PoisonMarker = "<<crash-this-engine>>"

// upstreamAddresses returns the addresses of the instances' upstreams, separated by commas.
func upstreamAddresses(instances []instance) string {
	var addresses []string
	for _, p := range instances {
		addresses = append(addresses, p.address(portUpstream))
	}
	return strings.Join(addresses, ", ")
}
