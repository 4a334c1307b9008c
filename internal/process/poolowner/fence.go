package poolowner

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/logsink"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// tokensPerTerm is by how much a claim raises the epoch, and so the number of fencing tokens that an owner may use: one more for each process of a worker that it sees.
// Owners of earlier versions raise it by one and use it as their only token.
const tokensPerTerm = 100

// tokens returns the fencing tokens of an owner: those above the epoch of the owner before, up to its own.
func (c *claim) tokens() pool.Tokens { return pool.Tokens{First: c.previous + 1, Last: c.Epoch} }

// token returns the fencing token of calls to the worker.
func (l *link) token() ids.Epoch {
	if w := l.desired.Load(); w != nil {
		return w.token
	}
	return 0
}

// followToken applies the worker's fencing token after a report.
func (l *link) followToken() {
	t := l.term
	w := *l.desired.Load()
	token := t.state.Token(l.id)
	if token != w.token {
		t.owner.metrics.TokensRaised.Add(1)
		t.log.Named(logsink.Complete).Info("workers: a new process refuses the orders to the one before from now on", zap.String("worker", string(l.id)), zap.Uint64("token", uint64(token)))
	}
	w.token = token
	l.setDesired(w)
	if len(t.heldStarts) > 0 {
		// Starts wait until a new process has reported all of its runs.
		t.releaseStarts(time.Now())
	}
}

// isOutdated reports whether a worker has refused a call since this owner uses a higher fencing token there by now: the call was sent to an earlier process. It has done
// nothing.
func (l *link) isOutdated(token ids.Epoch, err error) bool {
	if !errors.Is(err, worker.ErrFenced) || token >= l.token() {
		return false
	}
	l.term.owner.metrics.CallsOutdated.Add(1)
	return true
}
