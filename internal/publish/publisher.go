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
	// publishTimeout bounds one request with all its retries.
	publishTimeout = 15 * time.Second
	// maxAuthorNoteBytes is the largest size of the author and of the note, in
	// bytes each. The head's history stores both.
	maxAuthorNoteBytes = 500
)

// Publisher commits changes of the configuration. It is safe for concurrent
// use, and any number of publishers may commit at the same time, in one process
// or in several.
type Publisher struct {
	manager    *configsync.Manager
	repository *snapshot.Repository
}

// NewPublisher returns a Publisher that commits to manager's repository.
func NewPublisher(manager *configsync.Manager) *Publisher {
	return &Publisher{manager: manager, repository: manager.Repository()}
}

// Digest returns the digest of a specification, as used in Change.Base: the
// first 8 bytes of its SHA-256 sum, in hexadecimal.
func Digest(spec []byte) string {
	sum := sha256.Sum256(spec)
	return hex.EncodeToString(sum[:8])
}

// attempt is one attempt to commit a request on top of one base.
type attempt struct {
	request Request
	state   snapshot.State
	base    *snapshot.Snapshot
	next    *snapshot.Snapshot
	nonce   string
}

// Publish merges the request's changes into the newest configuration, checks
// the merged configuration and commits it. If another writer commits first, it
// starts again from the new configuration. It blocks until the outcome is known,
// for at most publishTimeout.
func (p *Publisher) Publish(ctx context.Context, request Request) Result {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if len(request.Author) > maxAuthorNoteBytes || len(request.Note) > maxAuthorNoteBytes {
		return notRunResult(p.manager.Revision(), fmt.Sprintf("author and note have at most %d bytes each", maxAuthorNoteBytes))
	}
	result := p.publish(ctx, request)
	metrics.Counter("publish.results", "outcome", string(result.Outcome)).Inc(1)
	return result
}

// publish prepares and commits attempts until one gives a result or ctx ends.
func (p *Publisher) publish(ctx context.Context, request Request) Result {
	for {
		a, result := p.prepare(ctx, request)
		if result != nil {
			return *result
		}
		result = p.commit(ctx, a)
		if result != nil {
			return *result
		}
		if ctx.Err() != nil {
			return notRunResult(a.base.Revision(), "other operators kept publishing: "+ctx.Err().Error())
		}
	}
}

// notRunResult returns a result with OutcomeNotRun.
func notRunResult(revision uint64, reason string) Result {
	return Result{Outcome: OutcomeNotRun, Revision: revision, Reason: reason}
}

// prepare reads the newest configuration, merges the changes into it and checks
// the result. It returns either an attempt to commit or the final result of the
// request.
func (p *Publisher) prepare(ctx context.Context, request Request) (*attempt, *Result) {
	a := &attempt{request: request, nonce: snapshot.NewNonce()}
	if err := p.readBase(ctx, a); err != nil {
		result := notRunResult(p.manager.Revision(), "the store cannot be read: "+err.Error())
		return nil, &result
	}
	changes, result := merge(a)
	if result != nil {
		return nil, result
	}
	a.next = a.base.Apply(a.base.Revision()+1, changes)
	if len(a.base.Diff(a.next)) == 0 {
		return nil, &Result{Outcome: OutcomeUnchanged, Revision: a.base.Revision()}
	}
	_, mistakes := object.Check(a.next.Revision(), object.Documents(a.next))
	if len(mistakes) > 0 {
		return nil, &Result{Outcome: OutcomeInvalid, Revision: a.base.Revision(), Mistakes: mistakes}
	}
	if request.DryRun {
		return nil, &Result{Outcome: OutcomeValid, Revision: a.base.Revision(), Changed: changedKeys(a)}
	}
	return a, nil
}

// readBase reads the head and its snapshot into a and applies the snapshot to
// this process's manager. It reads the head again if a bucket was replaced and
// deleted meanwhile.
func (p *Publisher) readBase(ctx context.Context, a *attempt) error {
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
		a.state, a.base = state, base
		if base.Revision() == 0 {
			return nil
		}
		return p.manager.Apply(base, "")
	}
}

// errNotConfirmed reports that too few witnesses confirmed the announcement.
var errNotConfirmed = errors.New("publication not announced")

// commit stores the buckets of one attempt, announces the attempt to the witnesses
// (agents, a majority of which can confirm that a revision is the newest; see
// configsync) and writes the head. It returns nil if another writer committed first.
func (p *Publisher) commit(ctx context.Context, a *attempt) *Result {
	entry := snapshot.Entry{
		Nonce: a.nonce, Author: a.request.Author, Note: a.request.Note, At: time.Now().UTC(),
	}
	result := Result{Revision: a.base.Revision(), Nonce: a.nonce}
	preCommit := func() error { return p.announce(ctx, a, &result) }
	_, err := p.repository.Commit(ctx, a.state, a.base, a.next, entry, preCommit)
	return p.finishCommit(a, result, err)
}

// announce announces the attempt to the witnesses and records in result how many
// confirmed. It returns errNotConfirmed if too few did and the request does not
// set Force, and snapshot.ErrHeadChanged if a newer revision is current in this
// process.
func (p *Publisher) announce(ctx context.Context, a *attempt, result *Result) error {
	announcement := p.manager.Announce(ctx, a.base, a.nonce)
	if p.manager.Revision() != a.base.Revision() {
		return snapshot.ErrHeadChanged
	}
	result.Confirmed, result.Witnesses = announcement.Confirmed, announcement.Witnesses
	if announcement.IsSufficient() || a.request.Force {
		return nil
	}
	return fmt.Errorf("%w: %d of %d witnesses confirm, %d are needed: "+
		"processes that are cut off could miss the change; force overrides this",
		errNotConfirmed, announcement.Confirmed, announcement.Witnesses, announcement.Needed)
}

// finishCommit returns the result for the error of a commit, or nil if another
// writer committed first. It applies an accepted configuration to this process's
// manager, and abandons the announcement if the commit changed nothing.
func (p *Publisher) finishCommit(a *attempt, result Result, err error) *Result {
	switch {
	case err == nil:
		result.Outcome = OutcomeAccepted
		result.Revision = a.next.Revision()
		result.Changed = changedKeys(a)
		if err := p.manager.Apply(a.next, ""); err != nil {
			result.Reason = err.Error()
		}
		return &result
	case errors.Is(err, snapshot.ErrHeadChanged):
		p.manager.Abandon(a.base, a.nonce)
		return nil
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, snapshot.ErrTooLarge), errors.Is(err, errNotConfirmed):
		p.manager.Abandon(a.base, a.nonce)
		result.Outcome = OutcomeNotRun
	default:
		result.Outcome = OutcomeUnknown
	}
	result.Reason = err.Error()
	return &result
}

// changedKeys returns the keys of the records that the attempt changes.
func changedKeys(a *attempt) []string {
	var keys []string
	for _, change := range a.base.Diff(a.next) {
		keys = append(keys, change.Key)
	}
	return keys
}

// merge returns the request as changes of records. If a specification is
// malformed or another operator has changed one of the objects since the
// request's base, it returns a result with the mistakes or conflicts instead.
func merge(a *attempt) ([]snapshot.Change, *Result) {
	var changes []snapshot.Change
	result := Result{Revision: a.base.Revision()}
	for _, change := range a.request.Changes {
		key := object.RecordKey(change.Kind, change.Name)
		proposed, err := toRecordChange(change, key)
		if err != nil {
			result.Mistakes = append(result.Mistakes, object.Mistake{Object: key, Field: "spec", Reason: err.Error()})
			continue
		}
		if hasConflict(a.base, change, proposed) {
			result.Conflicts = append(result.Conflicts, newConflict(a, key))
			continue
		}
		changes = append(changes, proposed)
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

// toRecordChange returns the change of the record with the given key. An absent or
// null specification deletes the record.
func toRecordChange(change Change, key string) (snapshot.Change, error) {
	if len(change.Spec) == 0 || string(change.Spec) == "null" {
		return snapshot.Change{Key: key, Deleted: true}, nil
	}
	spec, err := object.Canonical(change.Spec)
	return snapshot.Change{Key: key, Value: spec}, err
}

// hasConflict reports whether the object in base is neither the one that
// change.Base specifies nor already as the change requests. A change without a
// Base never conflicts.
func hasConflict(base *snapshot.Snapshot, change Change, proposed snapshot.Change) bool {
	if change.Base == "" {
		return false
	}
	current, ok := base.Get(proposed.Key)
	if ok == !proposed.Deleted && string(current) == string(proposed.Value) {
		return false
	}
	if !ok {
		return change.Base != BaseAbsent
	}
	return change.Base != Digest(current)
}

// newConflict returns the conflict for the object with the given key. It names
// the latest publication in the history that lists the object as changed.
func newConflict(a *attempt, key string) Conflict {
	conflict := Conflict{Object: key, Author: a.request.Author}
	for _, entry := range a.state.History() {
		for _, changed := range entry.Changed {
			if changed == key {
				conflict.OtherAuthor = entry.Author
				conflict.OtherRevision = entry.Revision
				return conflict
			}
		}
	}
	return conflict
}

// Drain starts or ends the draining of an upstream: it publishes the upstream with
// its field Leaving set or cleared and its other fields unchanged. request gives the
// author, the note and Force. If another operator changes the upstream at the same
// time, Drain starts again. It blocks for at most publishTimeout.
func (p *Publisher) Drain(ctx context.Context, upstream string, leaving bool, request Request) Result {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	for {
		var a attempt
		if err := p.readBase(ctx, &a); err != nil {
			return notRunResult(p.manager.Revision(), "the store cannot be read: "+err.Error())
		}
		change, err := drainChange(a.base, upstream, leaving)
		if err != nil {
			return notRunResult(a.base.Revision(), err.Error())
		}
		request.Changes = []Change{change}
		result := p.Publish(ctx, request)
		if result.Outcome != OutcomeConflict {
			return result
		}
	}
}

// drainChange returns the change that sets or clears an upstream's field Leaving.
func drainChange(base *snapshot.Snapshot, upstream string, leaving bool) (Change, error) {
	current, ok := base.Get(object.RecordKey(object.KindUpstream, upstream))
	if !ok {
		return Change{}, fmt.Errorf("no Upstream named %q", upstream)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(current, &fields); err != nil {
		return Change{}, err
	}
	delete(fields, "leaving")
	if leaving {
		fields["leaving"] = json.RawMessage("true")
	}
	spec, err := json.Marshal(fields)
	return Change{Kind: object.KindUpstream, Name: upstream, Spec: spec, Base: Digest(current)}, err
}
