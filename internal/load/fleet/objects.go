package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/standin/answer"
)

// document is an object as greengagectl reads it. JSON is YAML, too.
type document struct {
	Kind object.Kind `json:"kind"`
	Name string      `json:"name"`
	Spec any         `json:"spec"`
}

// Secret returns the key of a customer's callers.
func (o Options) Secret(customer int) string {
	return fmt.Sprintf("load-secret-%s-%d", o.Scenario.Name, customer+1)
}

// RevokedSecret returns the key of the first customer that the fault "revoke" withdraws.
func (o Options) RevokedSecret() string { return "load-secret-to-withdraw" }

func (o Options) documents() []document {
	documents := []document{
		{object.KindFleet, "fleet", object.Fleet{
			EntrySlots:        o.Scenario.Zones,
			RetryHorizon:      object.Duration(10 * time.Minute),
			StaleAfter:        object.Duration(10 * time.Second),
			MaxLoads:          o.Scenario.LoadsAtOnce,
			IdempotencyShards: 16,
			QuarantineFor:     object.Duration(5 * time.Minute),
		}},
		{object.KindRoute, "prompts", object.Route{Model: Model, Pool: poolEngine, Idempotent: true}},
		{object.KindRoute, "charges", object.Route{Path: PathCharges, Pool: poolService}},
		{object.KindRoute, "balances", object.Route{Path: PathBalance, Pool: poolService, Idempotent: true}},
		{object.KindModelVersion, "assistant-1", object.ModelVersion{
			Model: Model, Weights: weights, Pool: poolEngine,
			BlockTokens: o.Scenario.BlockTokens, BytesPerToken: answer.BytesPerToken,
		}},
		keyDocument("to-withdraw", o.RevokedSecret(), o.Scenario.CustomerName(0), object.KeyActive),
	}
	documents = append(documents, o.customerDocuments()...)
	return append(documents, o.upstreamDocuments()...)
}

func (o Options) customerDocuments() []document {
	var documents []document
	for i := range o.Scenario.Shares {
		name := o.Scenario.CustomerName(i)
		documents = append(
			documents,
			document{object.KindCustomer, name, object.Customer{Rate: o.Rates[i], Burst: o.Bursts[i], Weight: 1}},
			keyDocument(name, o.Secret(i), name, object.KeyActive),
		)
	}
	return documents
}

func (o Options) upstreamDocuments() []document {
	_, engines, services := o.places()
	var documents []document
	for _, p := range engines {
		documents = append(documents, o.upstreamDocument(p, object.UpstreamEngine, poolEngine))
	}
	for _, p := range services {
		documents = append(documents, o.upstreamDocument(p, object.UpstreamService, poolService))
	}
	return documents
}

func (o Options) upstreamDocument(p place, kind object.UpstreamKind, pool string) document {
	return document{object.KindUpstream, p.name, object.Upstream{
		Address: p.advertised(o.Direct), Zone: p.zoneName(), Kind: kind, Pool: pool,
	}}
}

func keyDocument(name, secret, customer string, state object.KeyState) document {
	digest := sha256.Sum256([]byte(secret))
	return document{object.KindKey, name, object.Key{
		SHA256: hex.EncodeToString(digest[:]), Customer: customer, State: state,
	}}
}

// writeDocuments writes objects to a file and returns its path.
func (o Options) writeDocuments(name string, documents []document) (string, error) {
	var text []byte
	for _, d := range documents {
		encoded, err := json.Marshal(d)
		if err != nil {
			return "", err
		}
		text = append(text, "---\n"...)
		text = append(text, encoded...)
		text = append(text, '\n')
	}
	path := filepath.Join(o.WorkDir, name+".yaml")
	return path, os.WriteFile(path, text, 0o600)
}
