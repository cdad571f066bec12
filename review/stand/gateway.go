package stand

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Gateway is a gateway that runs as a process with the command of the deploy file.
type Gateway struct {
	Name, Zone   string
	Front, Ready string
	settings     string
	logFile      *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// Fleet is a store, runners and gateways.
type Fleet struct {
	Store    *Store
	Runners  []*Runner
	Gateways []*Gateway
	// MemoryMB is the limit in the gateways' settings.
	MemoryMB int
	folder   string
	first    bool
}

// NewFleet starts a store and creates a temporary folder. Close must be called.
func NewFleet() (*Fleet, error) {
	store, err := NewStore()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &Fleet{Store: store, folder: folder, MemoryMB: 134, first: true}, nil
}

// Close ends all gateways and removes the folder.
func (f *Fleet) Close() {
	for _, g := range f.Gateways {
		g.Signal(syscall.SIGCONT)
		g.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}

// AddRunner starts a runner.
func (f *Fleet) AddRunner(r *Runner) error {
	f.Runners = append(f.Runners, r)
	return r.Start(f.Store)
}

// freeAddress returns a loopback address that is free now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// AddGateways starts gateways with the settings of the deploy file's template.
func (f *Fleet) AddGateways(count int) error {
	template, err := os.ReadFile("deploy/gateway.ini")
	if err != nil {
		return err
	}
	for i := range count {
		g := &Gateway{Name: fmt.Sprintf("front-%d", i+1), Zone: "zone-a"}
		addresses := make([]string, 4)
		for k := range addresses {
			if addresses[k], err = freeAddress(); err != nil {
				return err
			}
		}
		g.Front, g.Ready = addresses[0], addresses[1]
		_, inner, _ := strings.Cut(addresses[2], ":")
		_, admin, _ := strings.Cut(addresses[3], ":")
		values := map[string]string{
			"node_name": g.Name, "zone": g.Zone, "region": "region", "ip": "127.0.0.1", "internal_ports.0": inner, "internal_ports.1": admin,
			"platform.address": f.Store.Address, "listen.front": g.Front, "listen.ready": g.Ready, "bootstrap": "true",
			"limits.memory_mb": fmt.Sprint(f.MemoryMB), "policies": "base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,platform",
			"parameters.revoke_ms": "5000", "parameters.drain_ms": "2000", "parameters.lease_ms": "3000", "parameters.version_ms": "12000",
			"parameters.retry_budget_ratio": "0.2", "parameters.retry_slack": "56", "parameters.quota_slack": "110000",
		}
		g.settings = filepath.Join(f.folder, g.Name+".ini")
		if err := os.WriteFile(g.settings, []byte(render(string(template), values)), 0o600); err != nil {
			return err
		}
		if g.logFile, err = os.Create(filepath.Join(f.folder, g.Name+".log")); err != nil {
			return err
		}
		f.Gateways = append(f.Gateways, g)
		if err := g.Start(); err != nil {
			return err
		}
	}
	return nil
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}\n?(.*?)\{\{/([\w.]+)\}\}\n?`)
	valuePattern   = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// render fills in the placeholders of a template: values and sections for present values.
func render(template string, values map[string]string) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		if values[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return valuePattern.ReplaceAllStringFunc(template, func(placeholder string) string {
		return values[strings.Trim(placeholder, "{}")]
	})
}

// Start starts the process.
func (g *Gateway) Start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	cmd := exec.Command("target/greengage-gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "GREENGAGEGATE_SETTINGS=" + g.settings}
	cmd.Stdout, cmd.Stderr = g.logFile, g.logFile
	// The process ends with this one, also when this one is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.cmd, g.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process if it runs.
func (g *Gateway) Signal(signal syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.exited:
	default:
		_ = g.cmd.Process.Signal(signal)
	}
}

// Kill ends the process at once and waits for its end.
func (g *Gateway) Kill() {
	g.Signal(syscall.SIGKILL)
	g.Wait()
}

// Wait waits for the end of the process.
func (g *Gateway) Wait() {
	g.mu.Lock()
	exited := g.exited
	g.mu.Unlock()
	<-exited
}

// Runs reports whether the process runs.
func (g *Gateway) Runs() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// ResidentKB returns the resident memory of the process in units of 1,000 bytes, or 0 if it does
// not run.
func (g *Gateway) ResidentKB() int64 {
	g.mu.Lock()
	pid := g.cmd.Process.Pid
	g.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kb int64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb * 1024 / 1000
		}
	}
	return 0
}

// IsReady asks the gateway for its readiness.
func (g *Gateway) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + g.Ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until all gateways are ready.
func (f *Fleet) AwaitReady() error {
	for range 200 {
		all := true
		for _, g := range f.Gateways {
			all = all && g.IsReady()
		}
		if all {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the gateways are not ready after 10 s")
}

// Named returns the gateway with a name, or nil.
func (f *Fleet) Named(name string) *Gateway {
	for _, g := range f.Gateways {
		if g.Name == name {
			return g
		}
	}
	return nil
}
