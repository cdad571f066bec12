package publish

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/greengagegate/greengagegate/internal/configsync"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/snapshot"
	"github.com/greengagegate/greengagegate/store"
)

const (
	// publishTimeout bounds one request, with all its retries.
	publishTimeout = 15 * time.Second
	// maxTextBytes bounds the author and the note, which the history keeps.
	maxTextBytes = 500
)

// Publisher commits changes of the configuration. Any number of publishers may
// race, in one process or in many.
type Publisher struct {
	manager    *configsync.Manager
	repository *snapshot.Repository
}

// NewPublisher returns a Publisher that commits where manager reads from.
func NewPublisher(manager *configsync.Manager) *Publisher {
	return &Publisher{manager: manager, repository: manager.Repository()}
}

// Digest returns the digest of a specification, for Change.Base.
func Digest(spec []byte) string {
	sum := sha256.Sum256(spec)
	return hex.EncodeToString(sum[:8])
}

// attempt is one try of a request on one base.
type attempt struct {
	request Request
	state   snapshot.State
	base    *snapshot.Snapshot
	next    *snapshot.Snapshot
	nonce   string
}

// Publish merges the changes into the newest set, checks the whole, and commits
// it. When another writer commits first it starts again from the new set. It
// blocks until the outcome is known or the time is over.
func (p *Publisher) Publish(ctx context.Context, request Request) Result {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if len(request.Author) > maxTextBytes || len(request.Note) > maxTextBytes {
		return notRun(p.manager.Revision(), fmt.Sprintf("author and note have at most %d bytes each", maxTextBytes))
	}
	result := p.publish(ctx, request)
	metrics.Counter("publish.results", "outcome", string(result.Outcome)).Inc(1)
	return result
}

func (p *Publisher) publish(ctx context.Context, request Request) Result {
	for {
		try, result := p.prepare(ctx, request)
		if result != nil {
			return *result
		}
		result = p.commit(ctx, try)
		if result != nil {
			return *result
		}
		if ctx.Err() != nil {
			return notRun(try.base.Revision(), "other operators kept publishing: "+ctx.Err().Error())
		}
	}
}

func notRun(revision uint64, reason string) Result {
	return Result{Outcome: OutcomeNotRun, Revision: revision, Reason: reason}
}

// prepare reads the newest set and merges the changes into it. A result ends the request.
func (p *Publisher) prepare(ctx context.Context, request Request) (*attempt, *Result) {
	try := &attempt{request: request, nonce: snapshot.NewNonce()}
	if err := p.readBase(ctx, try); err != nil {
		result := notRun(p.manager.Revision(), "the store cannot be read: "+err.Error())
		return nil, &result
	}
	changes, result := merge(try)
	if result != nil {
		return nil, result
	}
	try.next = try.base.Apply(try.base.Revision()+1, changes)
	if len(try.base.Diff(try.next)) == 0 {
		return nil, &Result{Outcome: OutcomeUnchanged, Revision: try.base.Revision()}
	}
	_, mistakes := object.Check(try.next.Revision(), object.Documents(try.next))
	if len(mistakes) > 0 {
		return nil, &Result{Outcome: OutcomeInvalid, Revision: try.base.Revision(), Mistakes: mistakes}
	}
	if request.DryRun {
		return nil, &Result{Outcome: OutcomeValid, Revision: try.base.Revision(), Changed: changedKeys(try)}
	}
	return try, nil
}

// readBase reads the head and its snapshot, and puts it in force here.
func (p *Publisher) readBase(ctx context.Context, try *attempt) error {
	for {
		state, err := p.repository.Head(ctx)
		if err != nil {
			return err
		}
		base, err := p.repository.Load(ctx, state, p.manager.Snapshot())
		if errors.Is(err, store.ErrNotFound) && ctx.Err() == nil {
			continue
		}
		if err != nil {
			return err
		}
		try.state, try.base = state, base
		if base.Revision() == 0 {
			return nil
		}
		return p.manager.Apply(base, "")
	}
}

// errNotAnnounced reports that too few witnesses confirm.
var errNotAnnounced = errors.New("publication not announced")

// commit stores, announces and commits one attempt. It returns nil when another
// writer came first.
func (p *Publisher) commit(ctx context.Context, try *attempt) *Result {
	entry := snapshot.Entry{
		Nonce: try.nonce, Author: try.request.Author, Note: try.request.Note, At: time.Now().UTC(),
	}
	result := Result{Revision: try.base.Revision(), Nonce: try.nonce}
	announce := func() error { return p.announce(ctx, try, &result) }
	_, err := p.repository.Commit(ctx, try.state, try.base, try.next, entry, announce)
	return p.settle(try, result, err)
}

// announce tells the witnesses, and returns an error unless enough confirm.
func (p *Publisher) announce(ctx context.Context, try *attempt, result *Result) error {
	announced := p.manager.Announce(ctx, try.base, try.nonce)
	if p.manager.Revision() != try.base.Revision() {
		return snapshot.ErrHeadChanged
	}
	result.Confirmed, result.Witnesses = announced.Confirmed, announced.Witnesses
	if announced.IsSufficient() || try.request.Force {
		return nil
	}
	return fmt.Errorf("%w: %d of %d witnesses confirm, %d are needed: "+
		"processes that are cut off could miss the change; force overrides this",
		errNotAnnounced, announced.Confirmed, announced.Witnesses, announced.Needed)
}

// settle turns the error of a commit into a result, nil when another writer came first.
func (p *Publisher) settle(try *attempt, result Result, err error) *Result {
	switch {
	case err == nil:
		result.Outcome = OutcomeAccepted
		result.Revision = try.next.Revision()
		result.Changed = changedKeys(try)
		if err := p.manager.Apply(try.next, ""); err != nil {
			result.Reason = err.Error()
		}
		return &result
	case errors.Is(err, snapshot.ErrHeadChanged):
		p.manager.Abandon(try.base, try.nonce)
		return nil
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, snapshot.ErrTooLarge), errors.Is(err, errNotAnnounced):
		p.manager.Abandon(try.base, try.nonce)
		result.Outcome = OutcomeNotRun
	default:
		result.Outcome = OutcomeUnknown
	}
	result.Reason = err.Error()
	return &result
}

func changedKeys(try *attempt) []string {
	var keys []string
	for _, change := range try.base.Diff(try.next) {
		keys = append(keys, change.Key)
	}
	return keys
}

// merge turns the request into changes of records, or reports the objects that
// others have changed since the request's bases.
func merge(try *attempt) ([]snapshot.Change, *Result) {
	var changes []snapshot.Change
	result := Result{Revision: try.base.Revision()}
	for _, change := range try.request.Changes {
		key := object.RecordKey(change.Kind, change.Name)
		wanted, err := record(change, key)
		if err != nil {
			result.Mistakes = append(result.Mistakes, object.Mistake{Object: key, Field: "spec", Reason: err.Error()})
			continue
		}
		if conflicts(try.base, change, wanted) {
			result.Conflicts = append(result.Conflicts, conflict(try, key))
			continue
		}
		changes = append(changes, wanted)
	}
	switch {
	case len(result.Mistakes) > 0:
		result.Outcome = OutcomeInvalid
		return nil, &result
	case len(result.Conflicts) > 0:
		result.Outcome = OutcomeConflict
		return nil, &result
	}
	return changes, nil
}

func record(change Change, key string) (snapshot.Change, error) {
	if len(change.Spec) == 0 || string(change.Spec) == "null" {
		return snapshot.Change{Key: key, Deleted: true}, nil
	}
	spec, err := object.Canonical(change.Spec)
	return snapshot.Change{Key: key, Value: spec}, err
}

// conflicts reports whether the object is neither as the change found it nor as
// the change leaves it.
func conflicts(base *snapshot.Snapshot, change Change, wanted snapshot.Change) bool {
	if change.Base == "" {
		return false
	}
	present, ok := base.Get(wanted.Key)
	if ok == !wanted.Deleted && string(present) == string(wanted.Value) {
		return false
	}
	if !ok {
		return change.Base != BaseAbsent
	}
	return change.Base != Digest(present)
}

// conflict names the latest publication that changed the object.
func conflict(try *attempt, key string) Conflict {
	found := Conflict{Object: key, Author: try.request.Author}
	for _, entry := range try.state.History() {
		for _, changed := range entry.Changed {
			if changed == key {
				found.OtherAuthor = entry.Author
				found.OtherRevision = entry.Revision
				return found
			}
		}
	}
	return found
}

// Drain sets or clears an upstream's Leaving and publishes that.
func (p *Publisher) Drain(ctx context.Context, upstream string, leaving bool, request Request) Result {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	for {
		var try attempt
		if err := p.readBase(ctx, &try); err != nil {
			return notRun(p.manager.Revision(), "the store cannot be read: "+err.Error())
		}
		change, err := drainChange(try.base, upstream, leaving)
		if err != nil {
			return notRun(try.base.Revision(), err.Error())
		}
		request.Changes = []Change{change}
		result := p.Publish(ctx, request)
		if result.Outcome != OutcomeConflict {
			return result
		}
	}
}

func drainChange(base *snapshot.Snapshot, upstream string, leaving bool) (Change, error) {
	present, ok := base.Get(object.RecordKey(object.KindUpstream, upstream))
	if !ok {
		return Change{}, fmt.Errorf("no Upstream named %q", upstream)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(present, &fields); err != nil {
		return Change{}, err
	}
	delete(fields, "leaving")
	if leaving {
		fields["leaving"] = json.RawMessage("true")
	}
	spec, err := json.Marshal(fields)
	return Change{Kind: object.KindUpstream, Name: upstream, Spec: spec, Base: Digest(present)}, err
}
