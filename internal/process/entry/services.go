package entry

import (
	"fmt"
	"sort"

	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/internal/request/service"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

func (e *Entry) compiled() *config.Config {
	if c := e.config.Current(); c != nil {
		return c.Config
	}
	return nil
}

// setRunners hands the known runners to their services and adds services as they appear.
func (e *Entry) setRunners() {
	e.servicesLock.Lock()
	defer e.servicesLock.Unlock()
	next := make(map[ids.ServiceID]*service.Service)
	if known := e.services.Load(); known != nil {
		for id, s := range *known {
			next[id] = s
		}
	}
	found := e.directory.runners(e.compiled())
	instances := max(1, len(e.members.Serving()))
	for id, list := range found {
		if next[id] == nil {
			next[id] = &service.Service{ID: id}
		}
		next[id].SetRunners(list, instances)
	}
	for id, s := range next {
		if _, listed := found[id]; !listed {
			s.SetRunners(nil, instances)
		}
	}
	e.services.Store(&next)
}

func (e *Entry) service(id ids.ServiceID) *service.Service {
	if known := e.services.Load(); known != nil {
		return (*known)[id]
	}
	return nil
}

// feasible returns the guarantees of a configuration that don't fit the matching instances, even if all are free.
func (e *Entry) feasible(c *config.Config) []string {
	var faults []string
	for id := range c.DataCentres {
		nodes, known := e.directory.nodes(id, c)
		if !known || len(nodes) == 0 {
			continue
		}
		state := &placement.State{DataCentre: id, Violated: func(error) {}}
		state.SetNodes(nodes)
		state.Configure(c)
		for _, g := range state.Report().Guarantees {
			if !g.Held {
				faults = append(faults, missing(g))
			}
		}
	}
	sort.Strings(faults)
	return faults
}

func missing(g operator.GuaranteeStatus) string {
	return fmt.Sprintf("Guarantee %q: shape %d of %s does not fit the instances of %s that account %s may use, beside the other guarantees: %s",
		g.Guarantee, g.Number+1, g.Shape, g.DataCentre, g.Account, g.Missing)
}
