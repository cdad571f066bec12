package configcheck

import (
	"strings"
	"testing"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/router"
)

// usefulObjects is a set without mistakes in which every object has an effect.
const usefulObjects = `
{kind: Customer, name: pilots, spec: {rate: 1000, burst: 10000}}
---
{kind: Key, name: pilot-1, spec: {customer: pilots, sha256: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa}}
---
{kind: Route, name: charges, spec: {path: /charges/, pool: billing}}
---
{kind: Upstream, name: billing-1, spec: {address: "127.0.0.1:1", zone: a, kind: service, pool: billing}}
---
{kind: Route, name: model, spec: {model: m, pool: models}}
---
{kind: Upstream, name: engine-1, spec: {address: "127.0.0.1:2", zone: a, kind: engine, pool: models}}
---
{kind: ModelVersion, name: m-1, spec: {model: m, weights: w, pool: models, block_tokens: 2000, bytes_per_token: 4}}
---
{kind: Fleet, name: fleet, spec: {entry_slots: 4, retry_horizon: 10m, stale_after: 10s, max_loads: 3, idempotency_shards: 8, quarantine_for: 10m}}
`

// TestObjectsReportsEachWarning changes or extends a set without warnings and checks the
// warning. It guards against a warning that is lost, and against one where nothing is wrong.
func TestObjectsReportsEachWarning(t *testing.T) {
	otherKey := "\n---\n{kind: Key, name: other-1, spec: {customer: other, sha256: " + strings.Repeat("b", 64) + "}}"
	tests := []struct {
		name, replace, with, added, want string
	}{
		{name: "no warning"},
		{
			name: "hidden route", added: "{kind: Route, name: own, spec: {path: /charges, pool: billing, customer: pilots}}",
			want: `Route/own: can never match: Route "charges" comes first`,
		},
		{name: "longer path is not hidden", added: "{kind: Route, name: own, spec: {path: /charges/a, pool: billing}}"},
		{
			name:  "route of a customer without a key",
			added: "{kind: Customer, name: other, spec: {rate: 1, burst: 5000}}\n---\n{kind: Route, name: own, spec: {path: /own, pool: billing, customer: other}}",
			want:  "Route/own: can never match: no Customer",
		},
		{name: "customer without a key", added: "{kind: Customer, name: other, spec: {rate: 1, burst: 5000}}", want: "Customer/other: has no active Key"},
		{
			name: "withdrawn key", replace: "customer: pilots, sha256", with: "customer: pilots, state: withdrawn, sha256",
			want: "Customer/pilots: has no active Key",
		},
		{
			name: "burst below a block", added: "{kind: Customer, name: other, spec: {rate: 1, burst: 2499}}" + otherKey,
			want: "Customer/other: burst: admits requests of up to 1999 tokens",
		},
		{name: "burst of a block", added: "{kind: Customer, name: other, spec: {rate: 1, burst: 2500}}" + otherKey},
		{name: "pool without a route", added: `{kind: Upstream, name: x, spec: {address: "127.0.0.1:3", zone: a, kind: service, pool: spare}}`, want: "Upstream/x: pool: no Route"},
		{name: "leaving pool", replace: "kind: service,", with: "kind: service, leaving: true,", want: "Route/charges: pool: every Upstream"},
		{
			name:  "model without a route",
			added: "{kind: ModelVersion, name: x-1, spec: {model: x, weights: w, pool: models, block_tokens: 2000, bytes_per_token: 4}}",
			want:  "ModelVersion/x-1: model: no Route",
		},
		{name: "short horizon", replace: "retry_horizon: 10m", with: "retry_horizon: 19s", want: "Fleet/fleet: retry_horizon: 19s is shorter"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(usefulObjects, test.replace, test.with, 1) + "---\n" + test.added
			documents, mistakes := object.Parse("f.yaml", []byte(text))
			set, checkMistakes := object.Check(1, documents)
			if len(mistakes)+len(checkMistakes) > 0 {
				t.Fatal(mistakes, checkMistakes)
			}
			findings := Objects(set)
			var lines strings.Builder
			for _, finding := range findings {
				lines.WriteString(finding.String() + "\n")
			}
			if !strings.Contains(lines.String(), test.want) || (len(findings) > 0) != (test.want != "") {
				t.Fatalf("want %q, got:\n%s", test.want, lines.String())
			}
		})
	}
}

// TestDefaultCallTimeoutIsThatOfRouters guards against a change of the routers' default
// that the check does not follow.
func TestDefaultCallTimeoutIsThatOfRouters(t *testing.T) {
	if got := router.DefaultLimits().CallTimeout; got != defaultCallTimeout {
		t.Fatalf("the routers' default is %s, the check assumes %s", got, defaultCallTimeout)
	}
}
