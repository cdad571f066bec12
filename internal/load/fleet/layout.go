// Package fleet starts the real programs of a fleet as child processes on
// loopback addresses, publishes their configuration and stops them.
package fleet

import (
	"fmt"
	"net"
	"time"

	"github.com/greengagegate/greengagegate/internal/load/scenario"
)

// The ports of the processes. Each router and agent has its own IP address.
const (
	portRelay      = 7100
	portInner      = 7101
	portMembership = 7102
	portAdmin      = 7103
	portOperators  = 7104
	portCallers    = 8080
	portUpstream   = 9000
	portPlatform   = 7400
	portStandin    = 7409
)

// The first value of the last octet of the IP addresses in a zone, by kind of process.
const (
	firstRouterOctet  = 10
	firstEngineOctet  = 20
	firstServiceOctet = 200
)

// The names and paths in the published configuration.
const (
	Model          = "assistant"
	weightsVersion = "v1"
	enginePool     = "engines"
	servicePool    = "services"
	PathCharges    = "/charges"
	PathBalance    = "/balances"
)

// Options describes a fleet. Policy and Import are the routers' placement settings.
type Options struct {
	Scenario scenario.Scenario
	Policy   string
	Import   bool
	// Rates and Bursts are the limits of the scenario's customers.
	Rates, Bursts []float64
	Seed          uint64
	// BinDir is the directory of the programs, WorkDir that for settings, objects
	// and logs.
	BinDir, WorkDir string
	// Net is the second octet of the IP addresses, which have the form
	// 127.NET.ZONE.HOST.
	Net int
	// WithoutRelays is true if processes connect without relays, and so without delays
	// between zones.
	WithoutRelays bool
	// PrefillRate is the prefill speed of the engine stand-ins in tokens per second,
	// DecodeBase the fixed part of their time for a decode step.
	PrefillRate float64
	DecodeBase  time.Duration
}

// The default speed of the engine stand-ins in all scenarios: the prefill rate in
// tokens per second and the fixed part of the time for a decode step.
const (
	DefaultPrefillRate = 25_000
	DefaultDecodeBase  = 15 * time.Millisecond
)

// instance is a router or agent with its location. Zones count from 1.
type instance struct {
	name string
	zone int
	ip   string
}

// address returns the instance's IP address with this port.
func (p instance) address(port int) string { return net.JoinHostPort(p.ip, fmt.Sprint(port)) }

func (p instance) zoneName() string { return fmt.Sprintf("zone-%d", p.zone) }

// advertisedAddress returns the address that peers dial: that of the instance's relay,
// or its own if withoutRelays is true.
func (p instance) advertisedAddress(withoutRelays bool) string {
	if withoutRelays {
		return p.address(portInner)
	}
	return p.address(portRelay)
}

// newInstance returns the instance with this index among those of its kind, which are
// assigned to the zones in turn. Within a zone the last octet counts up from firstOctet.
func (o Options) newInstance(name string, index, firstOctet int) instance {
	zone := 1 + index%o.Scenario.Zones
	octet := firstOctet + index/o.Scenario.Zones
	return instance{name: name, zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", o.Net, zone, octet)}
}

func (o Options) routerInstance(index int) instance {
	return o.newInstance(fmt.Sprintf("router-%d", index+1), index, firstRouterOctet)
}

func (o Options) engineInstance(index int) instance {
	return o.newInstance(fmt.Sprintf("engine-%02d", index+1), index, firstEngineOctet)
}

func (o Options) serviceInstance(index int) instance {
	return o.newInstance(fmt.Sprintf("service-%d", index+1), index, firstServiceOctet)
}

// standinAddress returns the address of the process of the stand-ins with this port.
func (o Options) standinAddress(port int) string {
	return net.JoinHostPort(fmt.Sprintf("127.%d.0.1", o.Net), fmt.Sprint(port))
}

// zoneOfIP returns the third octet of an IP address of the fleet, which is the number
// of its zone, or "" if the address is not IPv4.
func zoneOfIP(ip net.IP) string {
	ipv4 := ip.To4()
	if ipv4 == nil {
		return ""
	}
	return fmt.Sprint(ipv4[2])
}

// instances returns all routers, agents of engines and agents of services.
func (o Options) instances() (routers, engines, services []instance) {
	for i := range o.Scenario.Zones {
		routers = append(routers, o.routerInstance(i))
	}
	for i := range o.Scenario.Engines {
		engines = append(engines, o.engineInstance(i))
	}
	for i := range o.Scenario.Services {
		services = append(services, o.serviceInstance(i))
	}
	return routers, engines, services
}
