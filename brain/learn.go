package brain

import (
	"cmp"
	"time"
)

// startWait is the time, in seconds, in which a writer last started answers to state of this origin. It
// decays.
func (s *Scheduler) startWait(role Role, way int) float64 {
	p := s.pools[role].starts[way]
	return p.mean * decay(s.now-p.at, s.sampleWindow(startSample, 2*waitDecay, streamDecay))
}

// decayStarts lets a role's start times decay once none of our attempts waits there. Otherwise a past
// overload is assumed for as long as it makes us refuse all that could disprove it.
func (s *Scheduler) decayStarts(role Role) {
	waits := map[int]bool{}
	for _, e := range s.order {
		for _, r := range e.pending {
			waits[r.origin(e)] = waits[r.origin(e)] || e.role == role
		}
	}
	for way := range s.pools[role].starts {
		if !waits[way] {
			s.pools[role].starts[way] = startTime{s.startWait(role, way) * decay(s.tick, waitDecay/2), s.now}
		}
	}
}

func (s *Scheduler) learnStart(e *engine, r *request, took time.Duration, weight float64) {
	way := r.origin(e)
	before := s.startWait(e.role, way)
	s.pools[e.role].starts[way] = startTime{before + weight*(took.Seconds()-before), s.now}
}

// paceOf is the engine's time for a token, in seconds: its own samples, which decay, and the pool's mean.
// Times and tokens are summed before dividing, or short prefills, mostly overhead, would dominate.
func (s *Scheduler) paceOf(e *engine) float64 {
	p, left := &s.pools[e.role], decay(s.now-e.pacedAt, streamDecay)
	return (e.time*left + poolPaceReads*p.time) / max(e.tokens*left+poolPaceReads*p.tokens, 1)
}

func (s *Scheduler) learnPace(e *engine, r *request, took time.Duration, work float64) {
	p, left, tokens := &s.pools[e.role], decay(s.now-e.pacedAt, streamDecay), r.ahead+work+overheadTokens
	e.time, e.tokens, e.pacedAt = e.time*left+took.Seconds(), e.tokens*left+tokens, s.now
	if p.tokens == 0 {
		p.time, p.tokens = took.Seconds()*poolGain/s.poolWeight(), tokens // it may have waited
	}
	p.reads++ // a plain mean at first: a router of a large fleet sees few prefills
	p.pace += max(poolGain, 1/p.reads) * (took.Seconds()/tokens - p.pace)
	weight := poolGain
	if took.Seconds()*p.tokens < p.time*tokens { // a slow prefill may have waited behind others' work
		weight = s.poolWeight()
	}
	p.time += weight * (took.Seconds() - p.time)
	p.tokens += weight * (tokens - p.tokens)
}

// poolWeight is the weight of a sample in a pool's mean. It is greater while we have seen little for so many
// peers. In a large fleet that is most of a day, and the first sample alone must not cause refusals.
func (s *Scheduler) poolWeight() float64 {
	if s.seen < s.set.Routers/4 {
		return gain
	}
	return poolGain
}

// sampleWindow is the time in which the router sees n requests, within bounds. What a router of a large fleet
// forgot sooner it would have to learn by failing again.
func (s *Scheduler) sampleWindow(n int, least, most time.Duration) time.Duration {
	return min(max(least, time.Duration(n)*(s.now-s.began)/time.Duration(s.seen+1)), most)
}

func (s *Scheduler) recordLoad(e *engine, load Load) {
	if !load.Known {
		return
	}
	e.load, e.loadAt = load, s.now
	p := &s.pools[e.role]
	p.backlog += poolGain * (s.reportedBacklog(e) - p.backlog)
	if load.MemoryShare >= 0 {
		p.memory = cmp.Or(p.memory, load.MemoryShare)
		p.memory += poolGain * (load.MemoryShare - p.memory)
	}
}
