package poolowner

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// speedRecord is the stored form of the workers' speeds: one column for each field, which takes half the space of a list of objects.
type speedRecord struct {
	Workers []ids.InstanceID
	// Mean and Variance are in thousandths.
	Mean, Variance []int
	Incarnation    []uint64
}

const (
	// keySpeeds holds the learned speeds of the workers. Pools of equal workers have none.
	keySpeeds = "Jujubegrade/Speeds"
	// speedsSaveInterval is the shortest time between writes of the speeds.
	speedsSaveInterval = 2 * time.Second
	// speedsByteRate limits the writes of large pools: an instance may use 6 KB/s for control.
	speedsByteRate = 4 << 10
)

func encodeSpeeds(all map[ids.InstanceID]pool.Speed) ([]byte, error) {
	r := speedRecord{}
	for id := range all {
		r.Workers = append(r.Workers, id)
	}
	slices.Sort(r.Workers)
	for _, id := range r.Workers {
		v := all[id]
		r.Mean = append(r.Mean, int(math.Round(v.Mean*1000)))
		r.Variance = append(r.Variance, max(1, int(math.Round(v.Variance*1000))))
		r.Incarnation = append(r.Incarnation, v.Incarnation)
	}
	return json.Marshal(r)
}

func decodeSpeeds(value []byte) (map[ids.InstanceID]pool.Speed, error) {
	var r speedRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, err
	}
	all := make(map[ids.InstanceID]pool.Speed, len(r.Workers))
	for i, id := range r.Workers[:min(len(r.Workers), len(r.Mean), len(r.Variance), len(r.Incarnation))] {
		all[id] = pool.Speed{Mean: float64(r.Mean[i]) / 1000, Variance: float64(r.Variance[i]) / 1000, Incarnation: r.Incarnation[i]}
	}
	return all, nil
}

// loadSpeeds loads the speeds that an earlier owner learned. Unreadable ones are learned again.
func (t *term) loadSpeeds(e store.Entry) {
	if e.Revision == store.Absent {
		return
	}
	all, err := decodeSpeeds(e.Value)
	if err != nil {
		t.log.Error("owner: the workers' speeds can't be decoded and are discarded", zap.Error(err))
		return
	}
	t.state.SetSpeeds(all)
	t.log.Info("owner: workers' speeds read", zap.Int("workers", len(all)))
}

// saveSpeeds stores the workers' speeds if they have changed. They are not part of a batch, since no answer waits for them.
func (t *term) saveSpeeds(now time.Time) {
	if !t.isServing() || t.savingSpeeds || now.Before(t.saveSpeedsAt) {
		return
	}
	all, changes := t.state.Speeds()
	if len(all) == 0 || changes == t.savedSpeedChanges {
		return
	}
	value, err := encodeSpeeds(all)
	if err != nil {
		t.log.Error("owner: the workers' speeds can't be encoded", zap.Error(err))
		return
	}
	t.savingSpeeds = true
	t.saveSpeedsAt = now.Add(max(speedsSaveInterval, time.Duration(len(value))*time.Second/speedsByteRate))
	t.spawn("the write of the workers' speeds", func() {
		ctx, cancel := context.WithTimeout(t.ctx, storeCallTimeout)
		defer cancel()
		t.owner.metrics.Writes.Add(1)
		_, err := t.owner.Store.Commit(ctx, store.Transaction{
			Conditions: []store.Condition{{Key: keyOwner, Revision: t.claim.revision}}, Sets: []store.Set{{Key: keySpeeds, Value: value}},
		})
		t.post(func() {
			t.savingSpeeds = false
			if err == nil {
				t.savedSpeedChanges = changes
			}
		})
	})
}
