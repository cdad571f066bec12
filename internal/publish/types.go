// Package publish changes the configuration on behalf of operators: it merges
// and checks their changes, commits them to the store, and serves the operators'
// API.
package publish

import (
	"encoding/json"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
)

// Outcome is the outcome of a request to publish.
type Outcome string

// The outcomes of a request to publish.
const (
	// OutcomeAccepted means that the changes are committed.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeUnchanged means that the objects already were as requested.
	OutcomeUnchanged Outcome = "unchanged"
	// OutcomeValid is the outcome of a dry run whose changes pass all checks.
	OutcomeValid Outcome = "valid"
	// OutcomeInvalid means that the changes or the merged configuration have
	// mistakes. Nothing was changed.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeConflict means that another operator changed the same objects.
	// Nothing was changed.
	OutcomeConflict Outcome = "conflict"
	// OutcomeNotRun means that the changes were not made and will not be, for
	// example because the store was unreachable, too few witnesses confirmed the
	// announcement, or the request was refused.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the changes may or may not be committed. They
	// are if the history has an entry with the nonce.
	OutcomeUnknown Outcome = "unknown"
)

// BaseAbsent is the Base of a change that creates an object.
const BaseAbsent = "absent"

// Change sets or deletes one object.
type Change struct {
	Kind object.Kind `json:"kind"`
	Name string      `json:"name"`
	// Spec is the complete new specification, or absent to delete the object.
	Spec json.RawMessage `json:"spec,omitempty"`
	// Base is the digest of the specification that the change was made from,
	// BaseAbsent if there was no object, or "" to overwrite any specification.
	Base string `json:"base,omitempty"`
}

// Request is a request to publish changes.
type Request struct {
	Author string `json:"author,omitempty"`
	Note   string `json:"note,omitempty"`
	// DryRun checks the changes without committing them.
	DryRun bool `json:"dry_run,omitempty"`
	// Force publishes even if no majority of the witnesses confirms the
	// announcement. A group of processes that is cut off from the store and has a
	// majority of the witnesses may then use the old configuration until it is
	// connected again.
	Force   bool     `json:"force,omitempty"`
	Changes []Change `json:"changes"`
}

// Conflict describes an object that two operators changed.
type Conflict struct {
	Object string `json:"object"`
	// Author is the author of the refused request.
	Author string `json:"author"`
	// OtherAuthor and OtherRevision are the author and the revision of the
	// publication that was committed first. They are empty if the history no
	// longer lists it.
	OtherAuthor   string `json:"other_author,omitempty"`
	OtherRevision uint64 `json:"other_revision,omitempty"`
}

// Result is the answer to a Request.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Revision is the revision of the accepted changes, or otherwise the latest
	// revision that the request was compared with.
	Revision  uint64          `json:"revision"`
	Nonce     string          `json:"nonce,omitempty"`
	Reason    string          `json:"reason,omitempty"`
	Changed   []string        `json:"changed,omitempty"`
	Conflicts []Conflict      `json:"conflicts,omitempty"`
	Mistakes  object.Mistakes `json:"mistakes,omitempty"`
	// Confirmed is the number of witnesses that confirmed the announcement, and
	// Witnesses is the number of all witnesses.
	Confirmed int `json:"confirmed"`
	Witnesses int `json:"witnesses"`
}

// PublishedObject is an object of the current configuration.
type PublishedObject struct {
	Kind object.Kind     `json:"kind"`
	Name string          `json:"name"`
	Spec json.RawMessage `json:"spec"`
	// Digest is the value of Change.Base for a change of this specification.
	Digest string `json:"digest"`
}

// Objects is the answer to a request for objects.
type Objects struct {
	Revision uint64            `json:"revision"`
	Objects  []PublishedObject `json:"objects"`
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

// History is the answer to a request for the latest publications, newest first.
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
	// Answered reports whether the process itself answered this request with its
	// Revision and Draining. Otherwise Revision is the one in the membership table.
	Answered bool   `json:"answered"`
	Revision uint64 `json:"revision"`
	Draining bool   `json:"draining"`
}

// Status is the answer to a request for the state of all processes.
type Status struct {
	Process  string `json:"process"`
	Revision uint64 `json:"revision"`
	Fresh    bool   `json:"fresh"`
	// EvidenceAgeMs is the time since the revision was last known to be the
	// newest, in milliseconds, at most one hour.
	EvidenceAgeMs int64           `json:"evidence_age_ms"`
	Processes     []ProcessStatus `json:"processes"`
}
