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
	"github.com/greengagegate/greengagegate/store/memstore"
	"github.com/rs/zerolog"
)

const demoConfig = "../../examples/demo/config"

// alone is the view and the transport of a router without peers.
type alone struct{}

func (alone) Self() membership.Member { return membership.Member{Process: "router-a", Zone: "a"} }

func (alone) Members() []membership.Member {
	return []membership.Member{{Process: "router-a", Zone: "a"}}
}
func (alone) Changed() <-chan struct{} { return nil }

func (alone) Exchange(context.Context, string, *wirepb.ConfigExchange) (*wirepb.ConfigReply, error) {
	return nil, errors.New("no peers")
}

func (alone) Ask(context.Context, []string) map[string]status.Answer {
	return map[string]status.Answer{"": {Process: "router-a", Revision: 7}}
}

// serve starts an operators' API without agents and returns its URL.
func serve(t *testing.T) (string, *memstore.Store) {
	t.Helper()
	backing := memstore.New()
	manager := configsync.New(configsync.Options{Store: backing, Transport: alone{}, View: alone{}, Log: zerolog.Nop(), Seed: 1})
	gin.SetMode(gin.TestMode)
	router := gin.New()
	publish.NewHandler(publish.NewPublisher(manager), manager, alone{}, alone{}).Register(router)
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	t.Cleanup(func() { _ = manager.Stop(context.Background()) })
	return server.URL, backing
}

func run(args ...string) (int, string) {
	var stdout, stderr bytes.Buffer
	code := Run(args, &stdout, &stderr)
	return code, stdout.String() + stderr.String()
}

func write(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "objects.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestExitCodesWithoutServer(t *testing.T) {
	broken := write(t, "kind: Customer\nname: x\nspec: {rate: -1, colour: red}\n")
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
		{"check with mistakes", []string{"check", broken}, ExitInvalid, "Customer/x: colour: unknown field"},
		{"server away", []string{"publish", "-server", "http://127.0.0.1:1", demoConfig}, ExitFailure, "127.0.0.1:1"},
		{"key without name", []string{"key"}, ExitUsage, "-customer"},
		{"drain without name", []string{"drain"}, ExitUsage, "name of one upstream"},
		{"get of an unknown kind", []string{"get", "Thing"}, ExitUsage, "unknown kind"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, output := run(test.args...)
			if code != test.code || !strings.Contains(output, test.want) {
				t.Fatalf("code %d, want %d; output:\n%s", code, test.code, output)
			}
		})
	}
}

func TestPublishingFromTheCommandLine(t *testing.T) {
	url, backing := serve(t)
	server := "-server=" + url
	newRate := write(t, "kind: Customer\nname: pilots\nspec: {rate: 5, burst: 5000}\n")
	dangling := write(t, "kind: Key\nname: x\nspec: {customer: nobody, sha256: "+strings.Repeat("a", 64)+"}\n")
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
		{"dangling", nil, []string{"publish", server, dangling}, ExitInvalid, `no Customer named "nobody"`},
		{"no agents", nil, []string{"publish", server, newRate}, ExitFailure, "0 of 5 witnesses confirm"},
		{"forced", nil, []string{"publish", server, "-force", newRate}, ExitOK, "accepted, revision 2"},
		{"drain", nil, []string{"drain", server, "-force", "engine-1"}, ExitOK, "changed Upstream/engine-1"},
		{"drained", nil, []string{"get", server, "Upstream/engine-1"}, ExitOK, "leaving: true"},
		{"status", nil, []string{"status", server}, ExitOK, "revision 3"},
		{"history", nil, []string{"history", server}, ExitOK, "first"},
		{
			"store away", func() { backing.SetFaults(memstore.Faults{Down: true}) },
			[]string{"publish", server, "-force", demoConfig},
			ExitFailure, "not-run",
		},
		{"history with the store away", nil, []string{"history", server}, ExitFailure, "store cannot be read"},
		{"get with the store away", nil, []string{"get", server, "Customer/pilots"}, ExitOK, "rate: 5"},
	}
	for _, step := range steps {
		if step.before != nil {
			step.before()
		}
		code, output := run(step.args...)
		if code != step.code || !strings.Contains(output, step.want) {
			t.Fatalf("%s: code %d, want %d; output:\n%s", step.name, code, step.code, output)
		}
	}
}

func TestNewKeyHoldsNoSecret(t *testing.T) {
	code, output := run("key", "-json", "-customer", "pilots", "-name", "pilot-2")
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
	file := write(t, string(report.Object))
	if code, output := run("check", demoConfig, file); code != ExitOK {
		t.Fatalf("the new key does not fit: %s", output)
	}
}
