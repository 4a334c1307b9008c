// Package instancelist is a client of the platform's list of live and leaving instances.
package instancelist

import (
	"context"
	"net/http"
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
	var last decodedList
	return Client{List: func(ctx context.Context) ([]Instance, error) {
		response, err := client.Exchange(ctx, "GET", PathInstances, nil)
		if err != nil {
			return nil, err
		}
		if response.Status != http.StatusOK {
			return nil, errors.Newf("the instance list: unexpected status %d", response.Status)
		}
		return last.decode(response.Body)
	}}
}
