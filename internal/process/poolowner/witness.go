package poolowner

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Witness is a process of another instance that keeps the starts which an owner orders before it has stored their places.
	Witness struct {
		Instance ids.InstanceID
		Address  string
		// Process distinguishes the processes of an instance: a later one knows nothing of what an earlier one kept.
		Process uint64
	}

	// PlacesCall asks a witness to keep starts, or for those that it keeps.
	PlacesCall struct {
		// Epoch is that of the owner that asks. A witness keeps no starts for an owner once one with a higher epoch has asked.
		Epoch ids.Epoch
		// Process is the witness's.
		Process uint64
		// Number rises with each call of an owner. The places of the starts in calls with a number below Stored are stored.
		Number, Stored uint64             `json:",omitempty"`
		Starts         []pool.PlacedStart `json:",omitempty"`
		// Collect asks for all starts that the witness keeps for owners of lower epochs.
		Collect bool `json:",omitempty"`
	}

	// PlacesAnswer is the answer to a PlacesCall.
	PlacesAnswer struct {
		Starts []pool.PlacedStart `json:",omitempty"`
	}

	// keptStarts are the starts that this process keeps as a witness. The zero value keeps none.
	keptStarts struct {
		mu      sync.Mutex
		process uint64
		// epoch is the highest epoch that has asked.
		epoch ids.Epoch
		calls []PlacesCall
		count int
	}
)

// MethodPlaces is the peer method by which an owner calls its witnesses.
const MethodPlaces = "PoolPlaces"

const (
	// maxKeptStarts limits the starts that a witness keeps. Beyond it starts wait until their places are stored.
	maxKeptStarts = 1 << 16
	// joinInterval is the time between looks whether there is a new owner to offer this process to as a witness.
	joinInterval = 250 * time.Millisecond
	codeFenced   = "Fenced"
)

// errOtherProcess means that the call is for another process of this instance, or of an owner that was replaced.
var errOtherProcess = errors.New("the call is for an earlier process of this instance, or of an earlier owner")

// processNumber returns the number of this process.
func (k *keptStarts) processNumber() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.process == 0 {
		// JSON numbers above 2^53 lose digits in some decoders.
		k.process = 1 + rand.Uint64N(1<<53-1)
	}
	return k.process
}

// handle answers a call of an owner.
func (k *keptStarts) handle(c PlacesCall) (PlacesAnswer, error) {
	if c.Process != k.processNumber() {
		return PlacesAnswer{}, errOtherProcess
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if c.Epoch < k.epoch {
		return PlacesAnswer{}, errOtherProcess
	}
	k.epoch = c.Epoch
	if c.Collect {
		var answer PlacesAnswer
		for _, kept := range k.calls {
			if kept.Epoch < c.Epoch {
				answer.Starts = append(answer.Starts, kept.Starts...)
			}
		}
		return answer, nil
	}
	k.calls = slices.DeleteFunc(k.calls, func(kept PlacesCall) bool {
		// Starts of earlier owners are kept until this one has stored what it collected, which it says with its first number.
		stored := kept.Epoch < c.Epoch || kept.Number < c.Stored
		if stored {
			k.count -= len(kept.Starts)
		}
		return stored
	})
	if k.count+len(c.Starts) > maxKeptStarts {
		return PlacesAnswer{}, errors.New("too many starts are kept")
	}
	k.count += len(c.Starts)
	k.calls = append(k.calls, c)
	return PlacesAnswer{}, nil
}

// servePlaces answers a call of an owner of another instance.
func (g *Forwarder) servePlaces(_ context.Context, c PlacesCall) (PlacesAnswer, error) {
	answer, err := g.Owner.kept.handle(c)
	if err != nil {
		return answer, &httpjson.Fault{Status: 409, Code: codeFenced, Message: err.Error()}
	}
	return answer, nil
}

// Join offers this process to each new owner as a witness, until ctx is done.
func (g *Forwarder) Join(ctx context.Context) {
	joined := ids.Epoch(0)
	for ctx.Err() == nil {
		pause.For(ctx, jitter(joinInterval))
		current := g.Owner.Current()
		if current == nil || current.Address == "" || current.Instance == g.Owner.Instance || current.Epoch == joined {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		c := Call{Kind: join, Witness: &Witness{Instance: g.Owner.Instance, Address: g.Owner.Address, Process: g.Owner.kept.processNumber()}}
		if _, err := g.callOwner(callCtx, current, c); err == nil {
			joined = current.Epoch
		}
		cancel()
	}
}

// callWitness makes a call to a witness.
func (o *Owner) callWitness(ctx context.Context, w Witness, c PlacesCall) (PlacesAnswer, error) {
	c.Process = w.Process
	if w.Instance == o.Instance {
		return o.kept.handle(c)
	}
	if o.CallWitness != nil {
		return o.CallWitness(ctx, w.Address, c)
	}
	var answer PlacesAnswer
	client := o.witnessClient(w.Address)
	return answer, client.Call(ctx, MethodPlaces, c, &answer)
}

// callMajority calls all witnesses of several sets at once and returns the starts that they keep, and those that have answered. It fails unless a majority of each set
// answers. failed is called for each that does not, also after the others have answered; nil ignores them.
func (o *Owner) callMajority(ctx context.Context, sets [][]Witness, c PlacesCall, failed func(Witness)) ([]pool.PlacedStart, map[Witness]bool, error) {
	type result struct {
		witness Witness
		answer  PlacesAnswer
		err     error
	}
	var all []Witness
	for _, set := range sets {
		for _, w := range set {
			if !slices.Contains(all, w) {
				all = append(all, w)
			}
		}
	}
	results := make(chan result, len(all))
	for _, w := range all {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
			defer cancel()
			answer, err := o.callWitness(ctx, w, c)
			if err != nil {
				o.Log.Info("witness: no answer", zap.String("witness", string(w.Instance)), zap.Uint64("epoch", uint64(c.Epoch)), zap.Bool("collect", c.Collect), zap.String("cause", err.Error()))
				if failed != nil {
					failed(w)
				}
			}
			results <- result{w, answer, err}
		}()
	}
	var starts []pool.PlacedStart
	answered := make(map[Witness]bool)
	for range all {
		r := <-results
		if r.err != nil {
			continue
		}
		answered[r.witness] = true
		starts = append(starts, r.answer.Starts...)
		if haveMajorities(sets, answered) {
			return starts, answered, nil
		}
	}
	return nil, nil, errors.Newf("%d of %d witnesses have answered", len(answered), len(all))
}

// haveMajorities reports whether a majority of each set has answered.
func haveMajorities(sets [][]Witness, answered map[Witness]bool) bool {
	for _, set := range sets {
		count := 0
		for _, w := range set {
			if answered[w] {
				count++
			}
		}
		if 2*count <= len(set) {
			return false
		}
	}
	return true
}
