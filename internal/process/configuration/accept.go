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

// keptDocuments is the number of versions that the history keeps.
const keptDocuments = 100

var (
	// ErrConflict tells that another version was accepted since the change's base; nothing was changed.
	ErrConflict = errors.New("another configuration was accepted meanwhile")
	// ErrInvalid tells that the configuration is not usable; nothing was changed.
	ErrInvalid = errors.New("the configuration is not valid")
	// ErrStore tells that the store refused the change; nothing was changed.
	ErrStore = errors.New("the store does not answer, so nothing can be accepted")
	// ErrMinority tells that too few instances are heard for a change to get in force everywhere; nothing was changed.
	ErrMinority = errors.New("this instance hears less than half of the known instances, so the change could not get in force everywhere")
	// ErrUnknown tells that the change may have been accepted.
	ErrUnknown = errors.New("the store gave no answer; the change may have been accepted")
)

// Accept keeps a change as the next version. It is in force here when Accept returns.
func (c *Configuration) Accept(ctx context.Context, change operator.Change) (operator.Acceptance, error) {
	compiled, err := config.Parse("configuration", []byte(change.Text))
	if err != nil {
		return operator.Acceptance{}, errors.Mark(err, ErrInvalid)
	}
	var effects []string
	if c.Feasible != nil {
		effects = c.Feasible(compiled)
	}
	if len(effects) > 0 && !change.DryRun {
		return operator.Acceptance{Effects: effects}, errors.Mark(errors.New(strings.Join(effects, "\n")), ErrInvalid)
	}
	current, err := c.readHead(ctx)
	if err != nil {
		return operator.Acceptance{}, errors.Mark(err, ErrStore)
	}
	if current.Version != change.Base {
		return operator.Acceptance{Version: current.Version}, errors.Wrapf(ErrConflict, "the change is based on version %d, accepted is %d", change.Base, current.Version)
	}
	if change.DryRun {
		return operator.Acceptance{Version: current.Version, Effects: effects}, nil
	}
	if !c.Quorum() {
		return operator.Acceptance{Version: current.Version}, ErrMinority
	}
	return c.keep(ctx, change, current)
}

func (c *Configuration) readHead(ctx context.Context) (head, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Times.StoreCall)
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

// keep writes the document under a key of its own, then moves the head to it.
func (c *Configuration) keep(ctx context.Context, change operator.Change, current head) (operator.Acceptance, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*c.Times.StoreCall)
	defer cancel()
	source := operator.Config{Version: current.Version + 1, Author: change.Author, Time: time.Now().UTC(), Note: change.Note, Text: change.Text}
	next := head{Version: source.Version, Key: documentKey(source.Version, c.Instance), Previous: current.Key}
	body, err := json.Marshal(document{Config: source, Previous: current.Key})
	if err != nil {
		return operator.Acceptance{}, errors.Mark(err, ErrInvalid)
	}
	if _, err := c.Store.Put(ctx, store.Write{Key: next.Key, Value: body, If: store.Absent}); err != nil && !errors.Is(err, store.ErrUnknown) {
		return operator.Acceptance{}, errors.Mark(err, ErrStore)
	}
	value, err := json.Marshal(next)
	if err != nil {
		return operator.Acceptance{}, errors.Mark(err, ErrInvalid)
	}
	revision, err := c.Store.Put(ctx, store.Write{Key: headKey, Value: value, If: current.revision})
	if err != nil {
		if revision, err = c.resolve(ctx, next, err); err != nil {
			return operator.Acceptance{}, err
		}
	}
	next.revision = revision
	c.Event(operator.Event{Kind: "ConfigAccepted", Version: source.Version, Cause: "by " + source.Author + ": " + source.Note})
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

// resolve finds out whether the head was moved although the store's answer says otherwise or was lost.
func (c *Configuration) resolve(ctx context.Context, next head, failure error) (store.Revision, error) {
	if errors.Is(failure, store.ErrRefused) {
		return 0, errors.Mark(failure, ErrStore)
	}
	stored, err := c.readHead(ctx)
	switch {
	case err != nil:
		return 0, errors.Mark(failure, ErrUnknown)
	case stored.Key == next.Key:
		return stored.revision, nil
	case errors.Is(failure, store.ErrConflict):
		return 0, errors.Wrapf(ErrConflict, "accepted is version %d", stored.Version)
	case stored.Version < next.Version:
		// A write that still travels may yet take effect.
		return 0, errors.Mark(failure, ErrUnknown)
	}
	return c.resolveInHistory(ctx, next, stored)
}

// resolveInHistory looks for the change among the versions before a later one that was accepted on top of it.
func (c *Configuration) resolveInHistory(ctx context.Context, next, stored head) (store.Revision, error) {
	for key := stored.Key; key != ""; {
		if key == next.Key {
			return stored.revision, nil
		}
		d, err := c.readDocument(ctx, key)
		if err != nil {
			return 0, errors.Mark(err, ErrUnknown)
		}
		if d.Version <= next.Version {
			break
		}
		key = d.Previous
	}
	return 0, errors.Wrapf(ErrConflict, "accepted is version %d", stored.Version)
}

// prune removes the documents of a version that is too old for the history; a failure leaves them.
func (c *Configuration) prune(ctx context.Context, version ids.Version) {
	if version <= keptDocuments {
		return
	}
	prefix := fmt.Sprintf("%s%012d/", documentPrefix, version-keptDocuments)
	entries, err := c.Store.List(ctx, store.Page{Prefix: prefix, Limit: 10})
	if err != nil {
		return
	}
	for _, e := range entries {
		_ = c.Store.Delete(ctx, e.Key, e.Revision) // the documents are left over otherwise, which does no harm
	}
}

// History returns up to limit accepted versions below a version, the newest first, without their texts.
func (c *Configuration) History(ctx context.Context, below ids.Version, limit int) ([]operator.Config, error) {
	h, err := c.readHead(ctx)
	if err != nil {
		return nil, errors.Mark(err, ErrStore)
	}
	var list []operator.Config
	for key := h.Key; key != "" && len(list) < limit; {
		d, err := c.readDocument(ctx, key)
		if errors.Is(err, store.ErrNotFound) {
			break
		}
		if err != nil {
			return nil, errors.Mark(err, ErrStore)
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
