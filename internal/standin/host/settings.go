// Package host runs a configurable set of stand-ins in one process. Its admin listener
// injects faults and returns counters.
package host

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/greengagegate/greengagegate/internal/settings"
	"github.com/greengagegate/greengagegate/store"
)

var errNotPositive = errors.New("must be greater than 0")

// Admin holds the settings of the admin listener.
type Admin struct {
	Listen string `ini:"listen,required"`
}

// Validate implements settings.Validator.
func (a *Admin) Validate() (string, error) { return "listen", checkAddress(a.Listen) }

// Platform holds the settings of the platform stand-in, which is disabled if Listen is
// empty.
type Platform struct {
	Listen  string        `ini:"listen"`
	Latency time.Duration `ini:"latency"`
	HostLag time.Duration `ini:"host_lag"`
	// Hosts lists "ADDRESS ZONE" entries, separated by commas.
	Hosts []string `ini:"hosts"`
}

// Validate implements settings.Validator.
func (p *Platform) Validate() (string, error) {
	if p.Listen == "" {
		return "", nil
	}
	if err := checkAddress(p.Listen); err != nil {
		return "listen", err
	}
	_, err := p.parseHosts()
	return "hosts", err
}

// parseHosts parses the entries of Hosts.
func (p *Platform) parseHosts() ([]store.Host, error) {
	hosts := make([]store.Host, 0, len(p.Hosts))
	for _, entry := range p.Hosts {
		fields := strings.Fields(entry)
		if len(fields) != 2 {
			return nil, fmt.Errorf("%q is not an address and a zone", entry)
		}
		hosts = append(hosts, store.Host{Address: fields[0], Zone: fields[1]})
	}
	return hosts, nil
}

// KVStore holds the settings of the cache store, which is disabled if Blocks is 0.
type KVStore struct {
	Blocks          int           `ini:"blocks"`
	TokensPerSecond float64       `ini:"tokens_per_second"`
	Latency         time.Duration `ini:"latency"`
}

// Validate implements settings.Validator.
func (k *KVStore) Validate() (string, error) {
	if k.Blocks > 0 && k.TokensPerSecond <= 0 {
		return "tokens_per_second", errNotPositive
	}
	return "", nil
}

// Engines holds the settings that all model engines share. See enginesim.Options
// and enginesim.WeightStore.
type Engines struct {
	// Listen has the address of each engine.
	Listen          []string      `ini:"listen"`
	Weights         string        `ini:"weights"`
	Seed            int64         `ini:"seed"`
	BlockTokens     int           `ini:"block_tokens"`
	CacheBlocks     int           `ini:"cache_blocks"`
	IdleEviction    time.Duration `ini:"idle_eviction"`
	BatchLimit      int           `ini:"batch_limit"`
	MaxWaiting      int           `ini:"max_waiting"`
	PrefillRate     float64       `ini:"prefill_tokens_per_second"`
	DecodeBase      time.Duration `ini:"decode_base"`
	DecodePerStream time.Duration `ini:"decode_per_stream"`
	EventDelayMin   time.Duration `ini:"event_delay_min"`
	EventDelayMax   time.Duration `ini:"event_delay_max"`
	EventLoss       float64       `ini:"event_loss"`
	EventGapMax     int           `ini:"event_gap_max"`
	LoadLag         time.Duration `ini:"load_lag"`
	Restart         time.Duration `ini:"restart"`
	LoadTime        time.Duration `ini:"load_time"`
	LoadsAtOnce     int           `ini:"loads_at_once"`
	PoisonMarker    string        `ini:"poison_marker"`
	// CheckFence lists the addresses of the engines that refuse orders with an old
	// fencing token.
	CheckFence []string `ini:"check_fence"`
}

// Validate implements settings.Validator.
func (e *Engines) Validate() (string, error) {
	if len(e.Listen) == 0 {
		return "", nil
	}
	for _, address := range e.Listen {
		if err := checkAddress(address); err != nil {
			return "listen", err
		}
	}
	positive := []struct {
		key   string
		value float64
	}{
		{"block_tokens", float64(e.BlockTokens)},
		{"cache_blocks", float64(e.CacheBlocks)},
		{"batch_limit", float64(e.BatchLimit)},
		{"max_waiting", float64(e.MaxWaiting)},
		{"prefill_tokens_per_second", e.PrefillRate},
	}
	for _, setting := range positive {
		if setting.value <= 0 {
			return setting.key, errNotPositive
		}
	}
	return "", nil
}

// Services holds the settings that all plain services share.
type Services struct {
	// Listen has the address of each service.
	Listen  []string      `ini:"listen"`
	Latency time.Duration `ini:"latency"`
	Restart time.Duration `ini:"restart"`
}

// Validate implements settings.Validator.
func (s *Services) Validate() (string, error) {
	for _, address := range s.Listen {
		if err := checkAddress(address); err != nil {
			return "listen", err
		}
	}
	return "", nil
}

// Settings holds all sections of the settings file.
type Settings struct {
	Admin    Admin
	Platform Platform
	KVStore  KVStore
	Engines  Engines
	Services Services
}

// Defaults returns the default settings, which apply to keys that are absent from the
// settings file.
func Defaults() *Settings {
	return &Settings{
		Platform: Platform{HostLag: 5 * time.Second},
		KVStore:  KVStore{TokensPerSecond: 150_000, Latency: 5 * time.Millisecond},
		Engines: Engines{
			Weights:         "v1",
			Seed:            1,
			BlockTokens:     2000,
			CacheBlocks:     120,
			IdleEviction:    8 * time.Second,
			BatchLimit:      32,
			MaxWaiting:      256,
			PrefillRate:     25_000,
			DecodeBase:      15 * time.Millisecond,
			DecodePerStream: 400 * time.Microsecond,
			EventDelayMin:   200 * time.Millisecond,
			EventDelayMax:   800 * time.Millisecond,
			EventLoss:       0.02,
			EventGapMax:     20,
			LoadLag:         time.Second,
			Restart:         2 * time.Second,
			LoadTime:        time.Second,
			LoadsAtOnce:     3,
			PoisonMarker:    "<<crash-this-engine>>",
		},
		Services: Services{Latency: 2 * time.Millisecond, Restart: time.Second},
	}
}

// Sections returns the sections of the settings file. Loading them sets s.
func (s *Settings) Sections() []settings.Section {
	return []settings.Section{
		{Name: "admin", Target: &s.Admin},
		{Name: "platform", Target: &s.Platform},
		{Name: "kvstore", Target: &s.KVStore},
		{Name: "engines", Target: &s.Engines},
		{Name: "services", Target: &s.Services},
	}
}

// checkAddress returns an error unless address is an IP address and a port.
func checkAddress(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP number and a port", address)
	}
	return nil
}
