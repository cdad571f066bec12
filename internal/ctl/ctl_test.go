package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gin-gonic/gin"
	"github.com/greengagegate/greengagegate/internal/configsync"
	"github.com/greengagegate/greengagegate/internal/publish"
	"github.com/greengagegate/greengagegate/internal/status"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/platform"
	"github.com/greengagegate/greengagegate/store/memstore"
	"github.com/rs/zerolog"
)

const demoConfig = "../../examples/demo/config"

// soloRouter implements the membership view, the configuration transport and the
// status source of a router that has no peers.
type soloRouter struct{}

func (soloRouter) Self() membership.Member { return membership.Member{Process: "router-a", Zone: "a"} }

func (soloRouter) Members() []membership.Member {
	return []membership.Member{{Process: "router-a", Zone: "a"}}
}
func (soloRouter) Changed() <-chan struct{} { return nil }

func (soloRouter) Exchange(context.Context, string, *wirepb.ConfigExchange) (*wirepb.ConfigReply, error) {
	return nil, errors.New("the router has no peers")
}

func (soloRouter) Query(context.Context, []string) map[string]status.ProcessStatus {
	return map[string]status.ProcessStatus{"": {Process: "router-a", Revision: 7}}
}

// startAPI starts the operators' API of a router in a fleet without agents. It
// returns the URL of the API and the store behind it.
func startAPI(t *testing.T) (string, *memstore.Store) {
	t.Helper()
	backing := memstore.New()
	manager := configsync.New(configsync.Options{Store: backing, Transport: soloRouter{}, View: soloRouter{}, Log: zerolog.Nop(), Seed: 1})
	gin.SetMode(gin.TestMode)
	router := gin.New()
	publish.NewHandler(publish.NewPublisher(manager), manager, soloRouter{}, soloRouter{}).Register(router)
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	t.Cleanup(func() { _ = manager.Stop(context.Background()) })
	return server.URL, backing
}

// runCommand returns the exit code of a command line and all that it printed,
// standard output first.
func runCommand(args ...string) (int, string) {
	var stdout, stderr bytes.Buffer
	code := Run(args, platform.ConfigForCheck, &stdout, &stderr)
	return code, stdout.String() + stderr.String()
}

// writeFile writes text to a new YAML file and returns the path of the file.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "objects.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestExitCodesWithoutServer checks the exit codes that scripts rely on where no
// server responds.
func TestExitCodesWithoutServer(t *testing.T) {
	invalid := writeFile(t, "kind: Customer\nname: x\nspec: {rate: -1, colour: red}\n")
	warned := writeFile(t, "kind: Customer\nname: x\nspec: {rate: 1, burst: 5000}\n")
	tests := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"no command", nil, ExitUsage, "Usage"},
		{"unknown command", []string{"publsh"}, ExitUsage, "unknown command"},
		{"unknown flag", []string{"check", "-colour"}, ExitUsage, "not defined"},
		{"check without files", []string{"check"}, ExitUsage, "name the files"},
		{"check", []string{"check", demoConfig}, ExitOK, "no mistakes"},
		{"check as JSON", []string{"check", "-json", demoConfig}, ExitOK, `"valid": true`},
		{"check with mistakes", []string{"check", invalid}, ExitInvalid, "Customer/x: colour: unknown field"},
		{"check with warnings", []string{"check", demoConfig, warned}, ExitOK, warned + ": warning: Customer/x: has no active Key"},
		{"strict check with warnings", []string{"check", "-strict", demoConfig, warned}, ExitInvalid, "1 warnings"},
		{"strict check", []string{"check", "-strict", demoConfig}, ExitOK, "0 warnings"},
		{"platform check without file", []string{"check-platform"}, ExitUsage, "name one file"},
		{"platform check of a missing file", []string{"check-platform", "missing.json"}, ExitFailure, "missing.json"},
		{"platform check of YAML", []string{"check-platform", warned}, ExitInvalid, "decoding the configuration failed"},
		{"server unreachable", []string{"publish", "-server", "http://127.0.0.1:1", demoConfig}, ExitFailure, "127.0.0.1:1"},
		{"key without name", []string{"key"}, ExitUsage, "-customer"},
		{"drain without name", []string{"drain"}, ExitUsage, "name of one upstream"},
		{"get of an unknown kind", []string{"get", "Thing"}, ExitUsage, "unknown kind"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, output := runCommand(test.args...)
			if code != test.code || !strings.Contains(output, test.want) {
				t.Fatalf("code %d, want %d; output:\n%s", code, test.code, output)
			}
		})
	}
}

// TestPublishFromCommandLine runs commands in sequence against one operators' API
// and checks their exit codes and output. The fleet has no agents, so a change of
// an existing configuration lacks its witnesses and needs -force. At the end the
// store is unreachable: publish must report not-run, and get must still print the
// objects in force.
func TestPublishFromCommandLine(t *testing.T) {
	url, backing := startAPI(t)
	server := "-server=" + url
	newRate := writeFile(t, "kind: Customer\nname: pilots\nspec: {rate: 5, burst: 5000}\n")
	unknownCustomer := writeFile(t, "kind: Key\nname: x\nspec: {customer: nobody, sha256: "+strings.Repeat("a", 64)+"}\n")
	steps := []struct {
		name   string
		before func()
		args   []string
		code   int
		want   string
	}{
		{"dry run", nil, []string{"publish", server, "-dry-run", demoConfig}, ExitOK, "valid, revision 0"},
		{"publish", nil, []string{"publish", server, "-author=ana", "-note=first", demoConfig}, ExitOK, "accepted, revision 1"},
		{"publish again", nil, []string{"publish", server, demoConfig}, ExitOK, "unchanged"},
		{"no difference", nil, []string{"diff", server, demoConfig}, ExitOK, ""},
		{"difference", nil, []string{"diff", server, newRate}, ExitDiffers, "~ Customer/pilots"},
		{"pruned", nil, []string{"diff", server, "-prune", newRate}, ExitDiffers, "- Fleet/fleet"},
		{"dangling", nil, []string{"publish", server, unknownCustomer}, ExitInvalid, `no Customer named "nobody"`},
		{"no agents", nil, []string{"publish", server, newRate}, ExitFailure, "0 of 5 witnesses confirm"},
		{"forced", nil, []string{"publish", server, "-force", newRate}, ExitOK, "accepted, revision 2"},
		{"drain", nil, []string{"drain", server, "-force", "engine-1"}, ExitOK, "changed Upstream/engine-1"},
		{"drained", nil, []string{"get", server, "Upstream/engine-1"}, ExitOK, "leaving: true"},
		{"status", nil, []string{"status", server}, ExitOK, "revision 3"},
		{"history", nil, []string{"history", server}, ExitOK, "first"},
		{
			"store unreachable", func() { backing.SetFaults(memstore.Faults{Down: true}) },
			[]string{"publish", server, "-force", demoConfig},
			ExitFailure, "not-run",
		},
		{"history with the store unreachable", nil, []string{"history", server}, ExitFailure, "store cannot be read"},
		{"get with the store unreachable", nil, []string{"get", server, "Customer/pilots"}, ExitOK, "rate: 5"},
	}
	for _, step := range steps {
		if step.before != nil {
			step.before()
		}
		code, output := runCommand(step.args...)
		if code != step.code || !strings.Contains(output, step.want) {
			t.Fatalf("%s: code %d, want %d; output:\n%s", step.name, code, step.code, output)
		}
	}
}

// TestNewKeyObjectOmitsSecret checks that the Key object of a new key does not
// contain the secret, and that it is valid beside the demo configuration.
func TestNewKeyObjectOmitsSecret(t *testing.T) {
	code, output := runCommand("key", "-json", "-customer", "pilots", "-name", "pilot-2")
	var report struct {
		Secret string          `json:"secret"`
		Object json.RawMessage `json:"object"`
	}
	if err := json.Unmarshal([]byte(output), &report); code != ExitOK || err != nil {
		t.Fatalf("code %d, %v: %s", code, err, output)
	}
	if !strings.HasPrefix(report.Secret, secretPrefix) || strings.Contains(string(report.Object), report.Secret) {
		t.Fatalf("%s", output)
	}
	file := writeFile(t, string(report.Object))
	if code, output := runCommand("check", demoConfig, file); code != ExitOK {
		t.Fatalf("check refused the new key: %s", output)
	}
}
