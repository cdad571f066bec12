package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the gateway as the deploy file builds it, and template the file that the platform fills
// in for it.
const (
	program  = "target/greengage-gateway"
	template = "deploy/gateway.ini"
)

// gateway is a process of the project's gateway.
type gateway struct {
	name, front, ready, settings string
	mu                           sync.Mutex
	process                      *exec.Cmd
	exited                       chan struct{}
}

// section matches a section of a template that holds no other section.
var section = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)

// placeholder matches a value in a template.
var placeholder = regexp.MustCompile(`\{\{([a-z_0-9.]+)\}\}`)

// render fills in a template like the platform: a section stays if its field has a value.
func render(text string, fields map[string]string) string {
	text = section.ReplaceAllStringFunc(text, func(match string) string {
		parts := section.FindStringSubmatch(match)
		if fields[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(match string) string {
		return fields[placeholder.FindStringSubmatch(match)[1]]
	})
}

// freePort returns a port that is free at an address now.
func freePort(ip string) string {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	_, port, _ := net.SplitHostPort(listener.Addr().String())
	return port
}

// newGateway writes the settings of a gateway at a loopback address of its own. The parameters are
// those of a small deployment.
func newGateway(folder string, number int, storeAddress string, changed map[string]string) *gateway {
	ip := "127.0.7." + strconv.Itoa(number)
	g := &gateway{name: "front-" + strconv.Itoa(number), front: ip + ":" + freePort(ip), ready: ip + ":" + freePort(ip)}
	fields := map[string]string{
		"node_name": g.name, "zone": "zone-a", "region": "region", "ip": ip, "internal_ports.0": freePort(ip), "internal_ports.1": freePort(ip),
		"platform.address": storeAddress, "listen.front": g.front, "listen.ready": g.ready, "bootstrap": "true",
		"policies":             "base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,platform",
		"limits.memory_mb":     "134",
		"limits.max_fds":       "4100",
		"parameters.revoke_ms": "5000", "parameters.drain_ms": "2000", "parameters.lease_ms": "3000", "parameters.version_ms": "12000",
		"parameters.retry_budget_ratio": "0.2", "parameters.retry_slack": "56", "parameters.quota_slack": "110000",
	}
	for name, value := range changed {
		fields[name] = value
	}
	text, err := os.ReadFile(template)
	if err != nil {
		panic(err)
	}
	g.settings = filepath.Join(folder, g.name+".ini")
	if err := os.WriteFile(g.settings, []byte(render(string(text), fields)), 0o600); err != nil {
		panic(err)
	}
	return g
}

// start starts the process. Its log goes to a file beside its settings.
func (g *gateway) start() {
	log, err := os.OpenFile(g.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer log.Close()
	started := exec.Command(program)
	started.Env = []string{"PATH=" + os.Getenv("PATH"), "GREENGAGEGATE_SETTINGS=" + g.settings}
	started.Stdout, started.Stderr = log, log
	if err := started.Start(); err != nil {
		panic(err)
	}
	exited := make(chan struct{})
	g.mu.Lock()
	g.process, g.exited = started, exited
	g.mu.Unlock()
	go func() {
		_ = started.Wait()
		close(exited)
	}()
}

// hangUp sends SIGHUP to the process.
func (g *gateway) hangUp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.process.Process.Signal(syscall.SIGHUP)
}

// restart starts the process again, after the whole system has started for the first time.
func (g *gateway) restart() {
	text, err := os.ReadFile(g.settings)
	if err != nil {
		panic(err)
	}
	if err := os.WriteFile(g.settings, []byte(strings.Replace(string(text), "first = true", "", 1)), 0o600); err != nil {
		panic(err)
	}
	g.start()
}

// stop ends the process and waits for its end.
func (g *gateway) stop() {
	g.mu.Lock()
	started, exited := g.process, g.exited
	g.mu.Unlock()
	if started == nil {
		return
	}
	_ = started.Process.Kill()
	<-exited
}

// isReady asks the gateway as the platform does.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + g.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the gateway is ready.
func (g *gateway) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", g.name, timeout)
}

// privateKB returns the memory in kB that the process has for itself alone; 0 if it has ended.
func (g *gateway) privateKB() int {
	g.mu.Lock()
	pid := g.process.Process.Pid
	g.mu.Unlock()
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kB, _ := strconv.Atoi(fields[1])
			return kB
		}
	}
	return 0
}
