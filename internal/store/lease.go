package store

import (
	"errors"
	"maps"
	"slices"
	"time"
)

// The errors of leases.
var (
	ErrLeaseNotFound = errors.New("the lease does not exist")
	ErrLeaseExists   = errors.New("the lease exists")
)

// lease is what the log says of one: a TTL in whole seconds, as etcd counts, and how often it was renewed. What is
// known of its time is each node's own and no part of the state: renewedAt is when this node applied its last grant or
// renewal, which can't be earlier than its holder asked for it.
type lease struct {
	TTL       int64
	Renewed   uint64
	renewedAt time.Duration
	keys      map[string]bool
}

func (s *kv) grant(id, ttl int64, now time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] != nil {
		return ErrLeaseExists
	}
	s.leases[id] = &lease{TTL: ttl, renewedAt: now, keys: map[string]bool{}}
	return nil
}

// renew starts a lease's time anew and gives its TTL.
func (s *kv) renew(id int64, now time.Duration) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return 0, ErrLeaseNotFound
	}
	l.Renewed++
	l.renewedAt = now
	return l.TTL, nil
}

// revoke ends a lease and deletes its keys, in one revision. An expiry names how often the lease had been renewed
// when its time was found to be over: if a renewal came before it in the log, the lease lives on.
func (s *kv) revoke(id int64, expiry bool, renewed uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil || (expiry && l.Renewed != renewed) {
		return ErrLeaseNotFound
	}
	delete(s.leases, id)
	next := s.rev + 1
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		s.add(key, version{Rev: next, Deleted: true})
	}
	if len(l.keys) > 0 {
		s.commit(next)
	}
	return nil
}

// setLease notes which lease a key has now, 0 for none; the lock is held.
func (s *kv) setLease(key string, id int64) {
	if list := s.versions[key]; len(list) > 0 {
		if l := s.leases[list[len(list)-1].Lease]; l != nil {
			delete(l.keys, key)
		}
	}
	if l := s.leases[id]; l != nil {
		l.keys[key] = true
	}
}

// expiredLease is a lease whose time is up, as one node sees it.
type expiredLease struct {
	id      int64
	renewed uint64
}

// expired lists the leases whose TTL has passed since this node applied their last renewal.
func (s *kv) expired(now time.Duration) (out []expiredLease) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for id, l := range s.leases {
		if now-l.renewedAt > time.Duration(l.TTL)*time.Second {
			out = append(out, expiredLease{id, l.Renewed})
		}
	}
	return out
}

// restartTimers gives every lease its whole time again: a node that has just begun to lead does not know how long the one
// before it was heard by the holders.
func (s *kv) restartTimers(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.renewedAt = now
	}
}

// LeaseStatus is a lease as one node sees it.
type LeaseStatus struct {
	ID        int64
	TTL       int64         // seconds, as granted
	Remaining time.Duration // not below 0
	Keys      []string
}

func (s *kv) lease(id int64, now time.Duration) (LeaseStatus, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	l := s.leases[id]
	if l == nil {
		return LeaseStatus{ID: id}, false
	}
	left := max(time.Duration(l.TTL)*time.Second-(now-l.renewedAt), 0)
	return LeaseStatus{id, l.TTL, left, slices.Sorted(maps.Keys(l.keys))}, true
}

func (s *kv) leaseIDs() []int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Sorted(maps.Keys(s.leases))
}
