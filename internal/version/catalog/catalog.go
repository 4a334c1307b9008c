// Package catalog is one version of what an operator configures for job queues: who may call them, and how their jobs run.
package catalog

import (
	"strings"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Catalog is one version of the configuration. It is not changed once it is in use.
	Catalog struct {
		Version ids.Version
		Queues  []Queue
		// Keys maps each API key to its account.
		Keys     map[string]ids.AccountID
		Accounts map[ids.AccountID]pool.Account
	}

	// Queue takes jobs at a host and a path prefix.
	Queue struct {
		ID       ids.QueueID
		Host     string
		Prefix   string
		Service  ids.ServiceID
		Priority int
		// MaxAttempts is how often a task or gang may fail.
		MaxAttempts int
		// Stretch times the longest chain of a job, plus Target, is the time in which it should end.
		Stretch float64
		Target  time.Duration
		// Timeout bounds one call.
		Timeout time.Duration
		// Public queues ask for no key.
		Public bool
		// Unsupported names a feature that this version doesn't offer; empty has none.
		Unsupported string
	}
)

// Resolve returns the queue of a host and path, and the rest of the path behind the longest prefix.
func (c *Catalog) Resolve(host, path string) (q *Queue, rest string) {
	for i := range c.Queues {
		candidate := &c.Queues[i]
		if candidate.Host == host && strings.HasPrefix(path, candidate.Prefix) && (q == nil || len(candidate.Prefix) > len(q.Prefix)) {
			q = candidate
		}
	}
	if q == nil {
		return nil, ""
	}
	return q, path[len(q.Prefix):]
}

// Queue returns a queue by its id, or nil.
func (c *Catalog) Queue(id ids.QueueID) *Queue {
	for i := range c.Queues {
		if c.Queues[i].ID == id {
			return &c.Queues[i]
		}
	}
	return nil
}
