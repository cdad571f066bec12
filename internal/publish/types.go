// Package publish is the operators' side of the configuration: it merges and
// checks changes, commits them to the store, and serves the operators' API.
package publish

import (
	"encoding/json"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
)

// Outcome says what became of a request to publish.
type Outcome string

// The outcomes of a request to publish.
const (
	// OutcomeAccepted says that the changes are committed.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeUnchanged says that the objects already are as asked.
	OutcomeUnchanged Outcome = "unchanged"
	// OutcomeValid answers a dry run of changes that would be accepted.
	OutcomeValid Outcome = "valid"
	// OutcomeInvalid says that the merged set has mistakes. Nothing was changed.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeConflict says that others changed the same objects. Nothing was changed.
	OutcomeConflict Outcome = "conflict"
	// OutcomeNotRun says that the changes were not made and will not be.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown says that the changes may or may not be committed. The
	// history tells: look for the nonce.
	OutcomeUnknown Outcome = "unknown"
)

// BaseAbsent is the Base of a change that creates an object.
const BaseAbsent = "absent"

// Change sets or deletes one object.
type Change struct {
	Kind object.Kind `json:"kind"`
	Name string      `json:"name"`
	// Spec is the whole new specification; absent to delete the object.
	Spec json.RawMessage `json:"spec,omitempty"`
	// Base is the digest of the specification that the change was made from,
	// BaseAbsent when there was none, or "" to overwrite whatever is there.
	Base string `json:"base,omitempty"`
}

// Request asks to publish changes.
type Request struct {
	Author string `json:"author,omitempty"`
	Note   string `json:"note,omitempty"`
	// DryRun checks only.
	DryRun bool `json:"dry_run,omitempty"`
	// Force publishes although fewer than half of the witnesses confirm. Processes
	// that reach neither the store nor a peer that does may then go on for as
	// long as they hear each other.
	Force   bool     `json:"force,omitempty"`
	Changes []Change `json:"changes"`
}

// Conflict names an object that two operators changed.
type Conflict struct {
	Object string `json:"object"`
	// Author is who made the request that was refused.
	Author string `json:"author"`
	// OtherAuthor and OtherRevision name the publication that came first, when
	// the history still has it.
	OtherAuthor   string `json:"other_author,omitempty"`
	OtherRevision uint64 `json:"other_revision,omitempty"`
}

// Result answers a Request.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Revision is the accepted revision, or the one that was compared with.
	Revision  uint64          `json:"revision"`
	Nonce     string          `json:"nonce,omitempty"`
	Reason    string          `json:"reason,omitempty"`
	Changed   []string        `json:"changed,omitempty"`
	Conflicts []Conflict      `json:"conflicts,omitempty"`
	Mistakes  object.Mistakes `json:"mistakes,omitempty"`
	// Confirmed is the number of witnesses that noted the publication, of Witnesses.
	Confirmed int `json:"confirmed"`
	Witnesses int `json:"witnesses"`
}

// Published is an object of the set in force.
type Published struct {
	Kind object.Kind     `json:"kind"`
	Name string          `json:"name"`
	Spec json.RawMessage `json:"spec"`
	// Digest is what a change of the object gives as its Base.
	Digest string `json:"digest"`
}

// Objects answers a request for objects.
type Objects struct {
	Revision uint64      `json:"revision"`
	Objects  []Published `json:"objects"`
}

// Publication is one entry of the history.
type Publication struct {
	Revision     uint64    `json:"revision"`
	Nonce        string    `json:"nonce"`
	Author       string    `json:"author,omitempty"`
	Note         string    `json:"note,omitempty"`
	At           time.Time `json:"at"`
	Changed      []string  `json:"changed"`
	ChangedCount int       `json:"changed_count"`
}

// History answers a request for former publications, newest first.
type History struct {
	Publications []Publication `json:"publications"`
}

// ProcessStatus is the state of one process.
type ProcessStatus struct {
	Process string `json:"process"`
	Role    string `json:"role"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
	// Answered says that the process itself told Revision and Draining just now.
	// Otherwise Revision is the one that it last reported to others.
	Answered bool   `json:"answered"`
	Revision uint64 `json:"revision"`
	Draining bool   `json:"draining"`
}

// Status answers a request for the state of the fleet.
type Status struct {
	Process  string `json:"process"`
	Revision uint64 `json:"revision"`
	Fresh    bool   `json:"fresh"`
	// EvidenceAgeMs is the age of the latest proof that the revision is the newest.
	EvidenceAgeMs int64           `json:"evidence_age_ms"`
	Processes     []ProcessStatus `json:"processes"`
}
