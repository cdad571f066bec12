package app

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/publish"
	"github.com/greengagegate/greengagegate/internal/standin/plainsvc"
	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/greengagegate/greengagegate/internal/tlsconf"
)

// answerLimit is the longest time in which a request must be answered, alone or beside a crowd.
const answerLimit = 30 * time.Second

// childProcess is a router or an agent that runs as a process of its own.
type childProcess struct {
	t      *testing.T
	cmd    *exec.Cmd
	exited chan struct{}

	mu     sync.Mutex
	output bytes.Buffer
}

// processLimits are the limits of a process; 0 means none.
type processLimits struct {
	// memoryMB is the setting limit_mb of [memory].
	memoryMB int
	// descriptors is the number of files that the process may have open.
	descriptors int
}

// crowdFleet is a fleet of one router and one agent of a plain service, each a process.
type crowdFleet struct {
	*testFleet
	settings      *RouterSettings
	router, agent *childProcess
	agentSettings Common
}

// newCrowdFleet starts a fleet whose processes have the limits and waits until a call is answered.
func newCrowdFleet(t *testing.T, limits processLimits) *crowdFleet {
	f := &crowdFleet{testFleet: newTestFleet(t, tlsconf.Files{}), settings: NewRouterSettings()}
	f.settings.Common = f.common("router-1", f.seed)
	f.settings.CallersListen.Listen, f.settings.Operators.Listen = testhost.Free(t), testhost.Free(t)
	f.router = startChild(t, "greengage-router", iniText("router", f.settings.Common, limits)+
		fmt.Sprintf("[callers]\nlisten = %s\n[operators]\nlisten = %s\n", f.settings.CallersListen.Listen, f.settings.Operators.Listen), limits)

	address := testhost.Free(t)
	upstream := plainsvc.New(plainsvc.Options{Name: "billing-1", Address: address, Latency: time.Millisecond, Restart: time.Second})
	if err := upstream.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(upstream.Stop)
	f.agentSettings = f.common("agent-billing-1", testhost.Free(t))
	f.agent = startChild(t, "greengage-agent", iniText("agent", f.agentSettings, limits)+
		fmt.Sprintf("[upstream]\nname = billing-1\nkind = service\nurl = http://%s\n", address), limits)
	f.addUpstream("billing-1", "billing")

	f.awaitHealth(f.settings.Admin.Listen)
	f.awaitHealth(f.agentSettings.Admin.Listen)
	f.publish(f.settings)
	f.requireServed()
	return f
}

// addUpstream adds the Upstream object of the agent's service.
func (f *crowdFleet) addUpstream(name, pool string) {
	spec, err := json.Marshal(object.Upstream{
		Address: f.agentSettings.Inner.Listen, Zone: "a", Kind: object.UpstreamKind("service"), Pool: pool,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.changes = append(f.changes, publish.Change{Kind: object.KindUpstream, Name: name, Spec: spec})
}

// iniText returns the settings that routers and agents share.
func iniText(identity string, c Common, limits processLimits) string {
	return fmt.Sprintf("[%s]\nname = %s\nzone = %s\nregion = %s\n[inner]\nlisten = %s\n[membership]\nlisten = %s\nseeds = %s\nkey = %s\n"+
		"[admin]\nlisten = %s\n[store]\nurl = %s\n[stop]\ndrain_delay = 300ms\ntimeout = 5s\n[memory]\nlimit_mb = %d\n",
		identity, c.Identity.Name, c.Identity.Zone, c.Identity.Region, c.Inner.Listen, c.Membership.Listen, strings.Join(c.Membership.Seeds, ","),
		c.Membership.Key, c.Admin.Listen, c.Store.URL, limits.memoryMB)
}

// startChild builds a program and starts it. The process is killed when the test ends.
func startChild(t *testing.T, program, settingsText string, limits processLimits) *childProcess {
	t.Helper()
	directory := t.TempDir()
	path, settingsPath := filepath.Join(directory, program), filepath.Join(directory, "settings.ini")
	if output, err := exec.Command("go", "build", "-o", path, "github.com/greengagegate/greengagegate/cmd/"+program).CombinedOutput(); err != nil {
		t.Fatalf("building %s failed: %v\n%s", program, err, output)
	}
	if err := os.WriteFile(settingsPath, []byte(settingsText), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &childProcess{t: t, cmd: exec.Command(path, "-config", settingsPath), exited: make(chan struct{})}
	if limits.descriptors > 0 {
		// The shell lowers its own limit and becomes the program.
		p.cmd = exec.Command("sh", "-c", `ulimit -n "$1" && exec "$2" -config "$3"`, "sh", strconv.Itoa(limits.descriptors), path, settingsPath)
	}
	p.cmd.Stdout, p.cmd.Stderr = p, p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.exited)
		_ = p.cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			t.Logf("%s: %s", program, p.tail())
		}
	})
	return p
}

// Write implements io.Writer for the output of the process.
func (p *childProcess) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(data)
}

// tail returns the end of the output.
func (p *childProcess) tail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	const maxBytes = 3000
	output := p.output.Bytes()
	return string(output[max(0, len(output)-maxBytes):])
}

// requireAlive fails the test if the process has ended.
func (p *childProcess) requireAlive() {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Fatalf("the process has ended: %v", p.cmd.ProcessState)
	default:
	}
}

// peakMemory returns the largest resident size of the process so far, in bytes.
func (p *childProcess) peakMemory() int64 {
	p.t.Helper()
	p.requireAlive()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			if err != nil {
				p.t.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	p.t.Fatal("the status of the process has no VmHWM")
	return 0
}

// openDescriptors returns the number of descriptors that the process has open.
func (p *childProcess) openDescriptors() int {
	p.t.Helper()
	p.requireAlive()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(entries)
}

// awaitHealth waits until the process with the admin address answers.
func (f *crowdFleet) awaitHealth(admin string) {
	for f.t.Context().Err() == nil {
		if response, err := http.Get("http://" + admin + "/healthz"); err == nil {
			_ = response.Body.Close()
			return
		}
		time.Sleep(retryInterval)
	}
}

// requireServed fails the test unless a small call is answered by the service.
func (f *crowdFleet) requireServed() {
	f.t.Helper()
	f.requireAnswer("an ordinary call", func() (*http.Request, error) {
		body := strings.NewReader(`{"id":"berth-17","account":"vessel-9","amount":125}`)
		request, err := http.NewRequest(http.MethodPost, "http://"+f.settings.CallersListen.Listen+"/charges", body)
		request.Header.Set("Authorization", "Bearer "+fleetSecret)
		return request, err
	})
}

// requireReady fails the test unless a readiness check succeeds.
func (f *crowdFleet) requireReady(admin string) {
	f.t.Helper()
	f.requireAnswer("a readiness check", func() (*http.Request, error) {
		return http.NewRequest(http.MethodGet, "http://"+admin+"/readyz", nil)
	})
}

// requireAnswer repeats a request, each time on a new connection, until it is answered with
// status 200. It fails the test if that does not happen within answerLimit.
func (f *crowdFleet) requireAnswer(what string, newRequest func() (*http.Request, error)) {
	f.t.Helper()
	client := http.Client{Timeout: reportTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var last string
	for start := time.Now(); time.Since(start) < answerLimit; time.Sleep(retryInterval) {
		request, err := newRequest()
		if err != nil {
			f.t.Fatal(err)
		}
		response, err := client.Do(request)
		if err != nil {
			last = err.Error()
			continue
		}
		body := bufferBody(response)
		if response.StatusCode == http.StatusOK {
			return
		}
		last = response.Status + " " + string(body)
	}
	f.t.Errorf("%s was not answered with status 200, the last answer: %s", what, last)
}
