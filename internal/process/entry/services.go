package entry

import (
	"github.com/jujubegrade/jujubegrade/internal/request/service"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

func (e *Entry) currentConfig() *config.Config {
	if c := e.config.Current(); c != nil {
		return c.Config
	}
	return nil
}

// updateRunners passes the listed runners to their services, and adds services when they are first listed.
func (e *Entry) updateRunners() {
	e.servicesLock.Lock()
	defer e.servicesLock.Unlock()
	next := make(map[ids.ServiceID]*service.Service)
	if known := e.services.Load(); known != nil {
		for id, s := range *known {
			next[id] = s
		}
	}
	found := e.directory.runners(e.currentConfig())
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
