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

// configDocument is an object in the format that greengagectl publish reads. It is
// encoded as JSON, since JSON is valid YAML.
type configDocument struct {
	Kind object.Kind `json:"kind"`
	Name string      `json:"name"`
	Spec any         `json:"spec"`
}

// Secret returns the API key that a customer's callers use.
func (o Options) Secret(customer int) string {
	return fmt.Sprintf("load-secret-%s-%d", o.Scenario.Name, customer+1)
}

// WithdrawnSecret returns the additional API key of the first customer that the fault
// "revoke" withdraws.
func (o Options) WithdrawnSecret() string { return "load-secret-to-withdraw" }

// configDocuments returns all objects that the fleet needs.
func (o Options) configDocuments() []configDocument {
	documents := []configDocument{
		{object.KindFleet, "fleet", object.Fleet{
			EntrySlots:        o.Scenario.Zones,
			RetryHorizon:      object.Duration(10 * time.Minute),
			StaleAfter:        object.Duration(10 * time.Second),
			MaxLoads:          o.Scenario.FullSpeedLoads,
			IdempotencyShards: 16,
			QuarantineFor:     object.Duration(5 * time.Minute),
		}},
		{object.KindRoute, "prompts", object.Route{Model: Model, Pool: enginePool, Idempotent: true}},
		{object.KindRoute, "charges", object.Route{Path: PathCharges, Pool: servicePool}},
		{object.KindRoute, "balances", object.Route{Path: PathBalance, Pool: servicePool, Idempotent: true}},
		{object.KindModelVersion, "assistant-1", object.ModelVersion{
			Model: Model, Weights: weightsVersion, Pool: enginePool,
			BlockTokens: o.Scenario.BlockTokens, BytesPerToken: answer.BytesPerToken,
		}},
		keyDocument("to-withdraw", o.WithdrawnSecret(), o.Scenario.CustomerName(0), object.KeyActive),
	}
	documents = append(documents, o.customerDocuments()...)
	return append(documents, o.upstreamDocuments()...)
}

// customerDocuments returns each customer with its limits and its API key.
func (o Options) customerDocuments() []configDocument {
	var documents []configDocument
	for i := range o.Scenario.Shares {
		name := o.Scenario.CustomerName(i)
		documents = append(
			documents,
			configDocument{object.KindCustomer, name, object.Customer{Rate: o.Rates[i], Burst: o.Bursts[i], Weight: 1}},
			keyDocument(name, o.Secret(i), name, object.KeyActive),
		)
	}
	return documents
}

func (o Options) upstreamDocuments() []configDocument {
	_, engines, services := o.instances()
	var documents []configDocument
	for _, p := range engines {
		documents = append(documents, o.upstreamDocument(p, object.UpstreamEngine, enginePool))
	}
	for _, p := range services {
		documents = append(documents, o.upstreamDocument(p, object.UpstreamService, servicePool))
	}
	return documents
}

func (o Options) upstreamDocument(p instance, kind object.UpstreamKind, pool string) configDocument {
	return configDocument{object.KindUpstream, p.name, object.Upstream{
		Address: p.advertisedAddress(o.WithoutRelays), Zone: p.zoneName(), Kind: kind, Pool: pool,
	}}
}

// keyDocument returns an API key, of which only the SHA-256 digest is published.
func keyDocument(name, secret, customer string, state object.KeyState) configDocument {
	digest := sha256.Sum256([]byte(secret))
	return configDocument{object.KindKey, name, object.Key{
		SHA256: hex.EncodeToString(digest[:]), Customer: customer, State: state,
	}}
}

// writeDocuments writes objects to a YAML file in WorkDir and returns its path.
func (o Options) writeDocuments(name string, documents []configDocument) (string, error) {
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
