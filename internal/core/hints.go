package core

import "sumacloft/brain"

// PendingTokens returns how many prompt tokens of this router's attempts wait at each engine of a role, as spelled in
// the list. Engines with none are left out.
func (c *Core) PendingTokens(role string) map[brain.EngineID]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := map[brain.EngineID]float64{}
	for id, w := range c.workers {
		if w.Role != role {
			continue
		}
		if tokens := c.sched.PendingTokens(id); tokens > 0 {
			waiting[id] = tokens
		}
	}
	return waiting
}

// Candidates returns the engines that a job's prompt would be considered for first, up to limit.
func (c *Core) Candidates(job Job, limit int) []brain.EngineID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sched.Candidates(job.Arrival(0), limit)
}

// Reported passes the prompt tokens that wait at engines for all routers together to the scheduler.
func (c *Core) Reported(waiting map[brain.EngineID]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, tokens := range waiting {
		if c.workers[id] != nil {
			load := brain.Load{Known: true, MemoryShare: -1, WaitTokens: tokens, FromPeers: true}
			c.handle(brain.Reported{Engine: id, Load: load})
		}
	}
}
