// Package fleet starts the real programs of a fleet as child processes on
// loopback, publishes their configuration and stops them.
package fleet

import (
	"fmt"
	"net"
	"time"

	"github.com/greengagegate/greengagegate/internal/load/scenario"
)

// Ports of the processes, each of which has an IP number of its own.
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

// The last octets of the IP numbers in a zone.
const (
	hostRouter  = 10
	hostEngine  = 20
	hostService = 200
)

// Names in the published configuration.
const (
	Model       = "assistant"
	weights     = "v1"
	poolEngine  = "engines"
	poolService = "services"
	PathCharges = "/charges"
	PathBalance = "/balances"
)

// Options describes a fleet.
type Options struct {
	Scenario scenario.Scenario
	Policy   string
	Import   bool
	// Rates and Bursts are the limits of the scenario's customers.
	Rates, Bursts []float64
	Seed          uint64
	// BinDir holds the programs, WorkDir receives settings and logs.
	BinDir, WorkDir string
	// Net is the second octet of the IP numbers, 127.NET.ZONE.HOST.
	Net int
	// Direct leaves the delays between zones out.
	Direct bool
	// PrefillRate and DecodeBase of the engines.
	PrefillRate float64
	DecodeBase  time.Duration
}

// Defaults of the engines in all scenarios.
const (
	DefaultPrefillRate = 25_000
	DefaultDecodeBase  = 15 * time.Millisecond
)

// place is where a process runs. Zones count from 1.
type place struct {
	name string
	zone int
	ip   string
}

func (p place) at(port int) string { return net.JoinHostPort(p.ip, fmt.Sprint(port)) }

func (p place) zoneName() string { return fmt.Sprintf("zone-%d", p.zone) }

// advertised is the address that peers dial.
func (p place) advertised(direct bool) string {
	if direct {
		return p.at(portInner)
	}
	return p.at(portRelay)
}

func (o Options) place(name string, index, firstHost int) place {
	zone := 1 + index%o.Scenario.Zones
	host := firstHost + index/o.Scenario.Zones
	return place{name: name, zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", o.Net, zone, host)}
}

func (o Options) router(index int) place {
	return o.place(fmt.Sprintf("router-%d", index+1), index, hostRouter)
}

func (o Options) engine(index int) place {
	return o.place(fmt.Sprintf("engine-%02d", index+1), index, hostEngine)
}

func (o Options) service(index int) place {
	return o.place(fmt.Sprintf("service-%d", index+1), index, hostService)
}

func (o Options) standin(port int) string {
	return net.JoinHostPort(fmt.Sprintf("127.%d.0.1", o.Net), fmt.Sprint(port))
}

// zoneOf returns the zone of an IP number of the fleet.
func zoneOf(ip net.IP) string {
	four := ip.To4()
	if four == nil {
		return ""
	}
	return fmt.Sprint(four[2])
}

func (o Options) places() (routers, engines, services []place) {
	for i := range o.Scenario.Zones {
		routers = append(routers, o.router(i))
	}
	for i := range o.Scenario.Engines {
		engines = append(engines, o.engine(i))
	}
	for i := range o.Scenario.Services {
		services = append(services, o.service(i))
	}
	return routers, engines, services
}
