package store

import (
	"sync"

	"github.com/hashicorp/raft"
)

// transport is raft's own over TCP, with pipelines that end at the first answer that is no success.
//
// Raft (1.7.3) stops reading a pipeline's answers there (pipelineDecode) and counts on its sender to notice. A sender
// that had one more request to send meanwhile waits for a reader that is gone, for good: the follower hears heartbeats,
// follows its leader, and gets no entry of the log until another one leads. One failed write to a full disk, or an
// answer that took longer than raftIOTimeout, was enough.
type transport struct{ *raft.NetworkTransport }

// AppendEntriesPipeline serves raft.Transport.
func (t transport) AppendEntriesPipeline(id raft.ServerID, to raft.ServerAddress) (raft.AppendPipeline, error) {
	inner, err := t.NetworkTransport.AppendEntriesPipeline(id, to)
	if err != nil {
		return nil, err
	}
	p := &pipeline{AppendPipeline: inner, out: make(chan raft.AppendFuture), quit: make(chan struct{})}
	go p.pass()
	return p, nil
}

// pipeline closes itself before it hands on an answer that is no success, so that whoever sends next is told.
type pipeline struct {
	raft.AppendPipeline
	out  chan raft.AppendFuture
	quit chan struct{}
	once sync.Once
}

func (p *pipeline) pass() {
	for {
		select {
		case <-p.quit:
			return
		case f := <-p.AppendPipeline.Consumer():
			if f.Error() != nil || !f.Response().Success {
				_ = p.AppendPipeline.Close() // what goes wrong with it is what it is closed for
			}
			select {
			case p.out <- f:
			case <-p.quit:
				return
			}
		}
	}
}

// Consumer serves raft.AppendPipeline.
func (p *pipeline) Consumer() <-chan raft.AppendFuture { return p.out }

// Close serves raft.AppendPipeline.
func (p *pipeline) Close() error {
	p.once.Do(func() { close(p.quit) })
	return p.AppendPipeline.Close()
}
