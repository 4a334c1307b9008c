package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

// historyLength is the number of versions kept in the history.
const historyLength = 100

var (
	// ErrConflict means that the change's base version is no longer the current one; nothing was changed.
	ErrConflict = errors.New("another configuration was accepted since")
	// ErrInvalid means that the configuration is malformed or infeasible; nothing was changed.
	ErrInvalid = errors.New("the configuration is not valid")
	// ErrStoreUnavailable means that the store could not be read or rejected the write; nothing was changed.
	ErrStoreUnavailable = errors.New("the store is unavailable; no change can be accepted")
	// ErrNoQuorum means that this instance lacks the quorum that a change needs to reach all instances; nothing was changed.
	ErrNoQuorum = errors.New("this instance hears less than half of the known instances, so the change could not come into force everywhere")
	// ErrOutcomeUnknown means that the change may have been accepted.
	ErrOutcomeUnknown = errors.New("the store did not answer; the change may have been accepted")
)

// Accept commits a change as the next version, which is in force on this instance when Accept returns.
func (c *Configuration) Accept(ctx context.Context, change operator.Change) (operator.Acceptance, error) {
	parsed, err := config.Parse("configuration", []byte(change.Text))
	if err != nil {
		return operator.Acceptance{}, errors.Mark(err, ErrInvalid)
	}
	var infeasible, effects []string
	if c.CheckFeasibility != nil {
		infeasible, effects = c.CheckFeasibility(parsed)
	}
	if len(infeasible) > 0 && !change.DryRun {
		return operator.Acceptance{Effects: infeasible}, errors.Mark(errors.New(strings.Join(infeasible, "\n")), ErrInvalid)
	}
	effects = append(infeasible, effects...)
	current, err := c.readHead(ctx)
	if err != nil {
		return operator.Acceptance{}, errors.Mark(err, ErrStoreUnavailable)
	}
	if current.Version != change.Base {
		return operator.Acceptance{Version: current.Version}, errors.Wrapf(ErrConflict, "the change is based on version %d, the current version is %d", change.Base, current.Version)
	}
	if change.DryRun {
		return operator.Acceptance{Version: current.Version, Effects: effects}, nil
	}
	if !c.Quorum() {
		return operator.Acceptance{Version: current.Version}, ErrNoQuorum
	}
	acceptance, err := c.commit(ctx, change, current)
	if acceptance.Accepted {
		acceptance.Effects = effects
	}
	return acceptance, err
}

func (c *Configuration) readHead(ctx context.Context) (head, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Times.StoreTimeout)
	defer cancel()
	var h head
	entry, err := c.Store.Get(ctx, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return h, nil
	}
	if err != nil {
		return h, err
	}
	h.revision = entry.Revision
	return h, json.Unmarshal(entry.Value, &h)
}

// commit writes the document under a unique key, then points the head at it by compare-and-swap.
func (c *Configuration) commit(ctx context.Context, change operator.Change, current head) (operator.Acceptance, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*c.Times.StoreTimeout)
	defer cancel()
	source := operator.Config{Version: current.Version + 1, Author: change.Author, Time: time.Now().UTC(), Note: change.Note, Text: change.Text}
	next := head{Version: source.Version, Key: documentKey(source.Version, c.Instance), Previous: current.Key}
	body, err := json.Marshal(document{Config: source, Previous: current.Key})
	if err != nil {
		return operator.Acceptance{}, errors.Mark(err, ErrInvalid)
	}
	if _, err := c.Store.Put(ctx, store.Write{Key: next.Key, Value: body, If: store.Absent}); err != nil && !errors.Is(err, store.ErrUnknown) {
		return operator.Acceptance{}, errors.Mark(err, ErrStoreUnavailable)
	}
	value, err := json.Marshal(next)
	if err != nil {
		return operator.Acceptance{}, errors.Mark(err, ErrInvalid)
	}
	revision, err := c.Store.Put(ctx, store.Write{Key: headKey, Value: value, If: current.revision})
	if err != nil {
		if revision, err = c.resolveOutcome(ctx, next, err); err != nil {
			return operator.Acceptance{}, err
		}
	}
	next.revision = revision
	c.OnEvent(operator.Event{Kind: "ConfigAccepted", Version: source.Version, Cause: "by " + source.Author + ": " + source.Note})
	if err := c.apply(source, next); err != nil {
		return operator.Acceptance{}, err
	}
	c.confirm(time.Now())
	c.prune(ctx, source.Version)
	return operator.Acceptance{Version: source.Version, Accepted: true}, nil
}

func documentKey(version ids.Version, instance ids.InstanceID) string {
	return fmt.Sprintf("%s%012d/%s-%08x", documentPrefix, version, instance, rand.Uint32())
}

// resolveOutcome determines whether a head update took effect after the write to the store failed or got no answer.
func (c *Configuration) resolveOutcome(ctx context.Context, next head, writeErr error) (store.Revision, error) {
	if errors.Is(writeErr, store.ErrRefused) {
		return 0, errors.Mark(writeErr, ErrStoreUnavailable)
	}
	stored, err := c.readHead(ctx)
	switch {
	case err != nil:
		return 0, errors.Mark(writeErr, ErrOutcomeUnknown)
	case stored.Key == next.Key:
		return stored.revision, nil
	case errors.Is(writeErr, store.ErrConflict):
		return 0, errors.Wrapf(ErrConflict, "the current version is %d", stored.Version)
	case stored.Version < next.Version:
		// The write may still be in flight and take effect later.
		return 0, errors.Mark(writeErr, ErrOutcomeUnknown)
	}
	return c.findInHistory(ctx, next, stored)
}

// findInHistory checks whether the change was committed and then superseded by a later version.
func (c *Configuration) findInHistory(ctx context.Context, next, stored head) (store.Revision, error) {
	for key := stored.Key; key != ""; {
		if key == next.Key {
			return stored.revision, nil
		}
		d, err := c.readDocument(ctx, key)
		if err != nil {
			return 0, errors.Mark(err, ErrOutcomeUnknown)
		}
		if d.Version <= next.Version {
			break
		}
		key = d.Previous
	}
	return 0, errors.Wrapf(ErrConflict, "the current version is %d", stored.Version)
}

// prune deletes the documents of the version that leaves the history when version is added. Errors are ignored.
func (c *Configuration) prune(ctx context.Context, version ids.Version) {
	if version <= historyLength {
		return
	}
	prefix := fmt.Sprintf("%s%012d/", documentPrefix, version-historyLength)
	entries, err := c.Store.List(ctx, store.Page{Prefix: prefix, Limit: 10})
	if err != nil {
		return
	}
	for _, e := range entries {
		_ = c.Store.Delete(ctx, e.Key, e.Revision) // a document that is not deleted is harmless
	}
}

// History returns up to limit accepted versions lower than below, newest first and without their texts. If below is zero,
// it starts at the current version.
func (c *Configuration) History(ctx context.Context, below ids.Version, limit int) ([]operator.Config, error) {
	h, err := c.readHead(ctx)
	if err != nil {
		return nil, errors.Mark(err, ErrStoreUnavailable)
	}
	var list []operator.Config
	for key := h.Key; key != "" && len(list) < limit; {
		d, err := c.readDocument(ctx, key)
		if errors.Is(err, store.ErrNotFound) {
			break
		}
		if err != nil {
			return nil, errors.Mark(err, ErrStoreUnavailable)
		}
		key = d.Previous
		if below != 0 && d.Version >= below {
			continue
		}
		d.Text = ""
		list = append(list, d.Config)
	}
	return list, nil
}
