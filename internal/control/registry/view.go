package registry

import (
	"github.com/benbjohnson/immutable"
)

type workerMap = immutable.SortedMap[string, Worker]

// View is an immutable snapshot of the workers known to one member, derived from its journal. It is safe for concurrent
// use.
type View struct {
	revision uint64
	workers  *workerMap
	services *immutable.SortedMap[string, *workerMap] // by service, without gone workers
}

func newView() *View {
	return &View{
		workers:  immutable.NewSortedMap[string, Worker](nil),
		services: immutable.NewSortedMap[string, *workerMap](nil),
	}
}

// Revision increases with each change of the view. Revisions of different members are not comparable.
func (v *View) Revision() uint64 {
	return v.revision
}

// Worker returns a worker in any state.
func (v *View) Worker(id string) (Worker, bool) {
	return v.workers.Get(id)
}

// All returns the known workers of all services, including those that are gone, sorted by id.
func (v *View) All() []Worker {
	return list(v.workers)
}

// Services returns the sorted names of the services that have workers.
func (v *View) Services() []string {
	names := make([]string, 0, v.services.Len())
	iterator := v.services.Iterator()
	for !iterator.Done() {
		name, _, _ := iterator.Next()
		names = append(names, name)
	}
	return names
}

// Workers returns the workers of a service that are up, leaving or lapsed, sorted by id.
func (v *View) Workers(service string) []Worker {
	workers, known := v.services.Get(service)
	if !known {
		return nil
	}
	return list(workers)
}

func list(workers *workerMap) []Worker {
	listed := make([]Worker, 0, workers.Len())
	iterator := workers.Iterator()
	for !iterator.Done() {
		_, worker, _ := iterator.Next()
		listed = append(listed, worker)
	}
	return listed
}

// fold returns the view after an event.
func (v *View) fold(event Event) *View {
	switch event.Cause {
	case LocalPause, InvalidGossip:
		return v
	case GraceExpired:
		return v.without(event.Worker.ID)
	}
	return v.with(event.Worker)
}

func (v *View) with(worker Worker) *View {
	next := v.without(worker.ID)
	next.workers = next.workers.Set(worker.ID, worker)
	if worker.State == Gone {
		return next
	}
	ofService, known := next.services.Get(worker.Service)
	if !known {
		ofService = immutable.NewSortedMap[string, Worker](nil)
	}
	next.services = next.services.Set(worker.Service, ofService.Set(worker.ID, worker))
	return next
}

// without returns a view with the next revision that lacks a worker.
func (v *View) without(id string) *View {
	next := &View{revision: v.revision + 1, workers: v.workers.Delete(id), services: v.services}
	previous, known := v.workers.Get(id)
	if !known {
		return next
	}
	ofService, listed := v.services.Get(previous.Service)
	if !listed {
		return next
	}
	rest := ofService.Delete(id)
	if rest.Len() == 0 {
		next.services = v.services.Delete(previous.Service)
	} else {
		next.services = v.services.Set(previous.Service, rest)
	}
	return next
}
