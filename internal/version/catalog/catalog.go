// Package catalog holds one version of the job queue configuration: who may call a queue and how its jobs run.
package catalog

import (
	"strings"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Catalog is one version of the configuration. It must not be modified once it is in use.
	Catalog struct {
		Version ids.Version
		Queues  []Queue
		// Services holds the services that the configuration names. Workers of others are not used; none means that all are.
		Services map[ids.ServiceID]bool
		// Keys maps each API key to its account.
		Keys     map[string]ids.AccountID
		Accounts map[ids.AccountID]pool.Account
		// UncheckedCapacity is set if some service's workers start whatever they are ordered to, whether they have room or not.
		UncheckedCapacity bool
	}

	// Queue accepts jobs at a host and a path prefix.
	Queue struct {
		ID       ids.QueueID
		Host     string
		Prefix   string
		Service  ids.ServiceID
		Priority int
		// MaxAttempts is the number of failures of a task or gang after which its job fails.
		MaxAttempts int
		// Stretch and Target define the objective of a job: to end within Stretch times its critical path, plus Target.
		Stretch float64
		Target  time.Duration
		// Timeout limits one call.
		Timeout time.Duration
		// Public queues require no API key.
		Public bool
		// Unsupported names a configured feature that this version doesn't support, or is empty.
		Unsupported string
	}
)

// Resolve returns the queue with the longest matching prefix for a host and path, and the rest of the path.
// It returns nil if no queue matches.
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

// Policy returns what the queue prescribes for its jobs.
func (q *Queue) Policy() pool.Policy {
	return pool.Policy{Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Target: q.Target}
}

// Queue returns the queue with the given id, or nil.
func (c *Catalog) Queue(id ids.QueueID) *Queue {
	for i := range c.Queues {
		if c.Queues[i].ID == id {
			return &c.Queues[i]
		}
	}
	return nil
}
