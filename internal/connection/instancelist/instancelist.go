// Package instancelist is a client of the platform's list of live and leaving instances.
package instancelist

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Role is the function of an instance.
	Role string

	// Instance is one entry of the list, which can be stale.
	Instance struct {
		ID         ids.InstanceID
		Role       Role
		Address    string
		DataCentre ids.DataCentreID
		Rack       ids.RackID `json:",omitempty"`
		Labels     labels.Set `json:",omitempty"`
		// Total is the resources that a worker offers.
		Total ids.Resources `json:",omitzero"`
		// Service and Slots are the service of a runner and the number of requests that it serves concurrently.
		Service ids.ServiceID `json:",omitempty"`
		Slots   int           `json:",omitempty"`
		// Leaving is set while the instance drains and accepts no new work.
		Leaving bool `json:",omitempty"`
	}

	// Client holds the calls of the instance list.
	Client struct {
		// List returns the instances. With ErrMalformed it returns those whose entries can be read.
		List func(ctx context.Context) ([]Instance, error)
	}
)

const (
	// Worker runs tasks.
	Worker Role = "Worker"
	// Runner serves requests.
	Runner Role = "Runner"
)

// ErrMalformed means that some entries of the list can't be read.
var ErrMalformed = errors.New("an entry of the instance list is malformed")

// PathInstances is the path of the list.
const PathInstances = "/v1/instances"

// Dial returns a client of the instance list at an address.
func Dial(address string, timeout time.Duration) Client {
	client := httpjson.NewClient(address)
	client.Timeout = timeout
	return Client{List: func(ctx context.Context) ([]Instance, error) {
		var entries []json.RawMessage
		if err := client.Call(ctx, "GET", PathInstances, nil, &entries); err != nil {
			return nil, err
		}
		return decode(entries)
	}}
}

// decode decodes the entries one by one, so that a malformed one does not hide the others.
func decode(entries []json.RawMessage) (instances []Instance, malformed error) {
	for i, e := range entries {
		var instance Instance
		if err := json.Unmarshal(e, &instance); err != nil {
			malformed = errors.Mark(errors.Wrapf(err, "entry %d of the instance list", i), ErrMalformed)
			continue
		}
		instances = append(instances, instance)
	}
	return instances, malformed
}
