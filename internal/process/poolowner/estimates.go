package poolowner

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// usageKey is the entry of the accounts' usage among the run times by queue. No queue has this id; a version that doesn't know the
// entry reads run times without samples.
const usageKey = ids.QueueID("")

// encodeEstimates returns the stored form of the learned run times and the accounts' usage.
func encodeEstimates(all map[ids.QueueID]pool.RunTimes, usage pool.Usage) ([]byte, error) {
	entries := make(map[ids.QueueID]any, len(all)+1)
	for id, r := range all {
		entries[id] = r
	}
	entries[usageKey] = usage
	return json.Marshal(entries)
}

// decodeEstimates reads a value of encodeEstimates, or of a version that stores no usage.
func decodeEstimates(value []byte) (map[ids.QueueID]pool.RunTimes, pool.Usage, error) {
	var entries map[ids.QueueID]json.RawMessage
	if err := json.Unmarshal(value, &entries); err != nil {
		return nil, pool.Usage{}, errors.Wrap(err, "malformed estimates")
	}
	var usage pool.Usage
	all := make(map[ids.QueueID]pool.RunTimes, len(entries))
	for id, entry := range entries {
		if id == usageKey {
			if err := json.Unmarshal(entry, &usage); err != nil {
				return nil, pool.Usage{}, errors.Wrap(err, "malformed usage")
			}
			continue
		}
		var r pool.RunTimes
		if err := json.Unmarshal(entry, &r); err != nil {
			return nil, pool.Usage{}, errors.Wrapf(err, "malformed estimates of queue %q", id)
		}
		all[id] = r
	}
	return all, usage, nil
}
