package main

import (
	"fmt"
	"time"

	"sumacloft/brain"
	"sumacloft/internal/config"
	"sumacloft/internal/wire"
)

// host holds the instances of this process. They share only the reply that they write to.
type host struct {
	instances map[uint32]*instance
	reply     wire.Reply
}

// instance is one router's scheduler and the data to translate its events.
type instance struct {
	scheduler  *brain.Scheduler
	fields     []field
	tokenAimMs []float64 // by class: converts the wire's estimate to tokens
	actions    []brain.Action
}

// batch passes the events to their instances and collects the reply.
func (h *host) batch(b wire.Batch) error {
	h.reply.Reset()
	at, selected := uint32(0), false
	for i := range b.Events {
		ev := &b.Events[i]
		actions, err := h.event(config.Millis(b.NowMs), ev)
		if err != nil {
			return err
		}
		if len(actions) == 0 {
			continue
		}
		if !selected || at != ev.Instance {
			at, selected = ev.Instance, true
			h.reply.At(at)
		}
		for _, a := range actions {
			h.write(a)
		}
	}
	return nil
}

// fatal is the action for a scheduler that panicked.
type fatal struct {
	brain.Action
	text string
}

func (h *host) event(now time.Duration, ev *wire.Event) (actions []brain.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			actions, err = []brain.Action{fatal{text: fmt.Sprintf("scheduler panic: %v", p)}}, nil
		}
	}()
	switch ev.Code {
	case wire.EvProvision:
		return nil, h.provision(ev)
	case wire.EvDetach:
		delete(h.instances, ev.Instance)
		return nil, nil
	}
	inst := h.instances[ev.Instance]
	if inst == nil {
		return nil, fmt.Errorf("event %d for instance %d, which was not provisioned", ev.Code, ev.Instance)
	}
	translated := inst.translate(ev)
	if translated == nil {
		return nil, nil
	}
	inst.actions = inst.scheduler.Handle(now, translated, inst.actions[:0])
	return inst.actions, nil
}

func (h *host) provision(ev *wire.Event) error {
	s, err := config.ParseSettings(ev.Settings)
	if err != nil {
		return err
	}
	set, err := s.Brain()
	if err != nil {
		return err
	}
	h.instances[ev.Instance] = &instance{
		scheduler: brain.New(set, ev.Seed), fields: fields(s.Report.Names), tokenAimMs: s.Family.TokenAimMs}
	return nil
}

func (h *host) write(action brain.Action) {
	switch a := action.(type) {
	case brain.Send:
		h.reply.PassOn(uint64(a.Request), wire.Engine(a.Engine), millis(a.Timeout))
	case brain.Cancel:
		h.reply.Cancel(uint64(a.Request), a.Attempt)
	case brain.Refuse:
		h.reply.Deny(uint64(a.Request), millis(a.HoldOff))
	case brain.Fail:
		h.reply.EndFailed(uint64(a.Request))
	case brain.Release:
		h.reply.DropState(uint64(a.Request))
	case brain.Probe:
		h.reply.Probe(wire.Engine(a.Engine))
	case brain.SetTimer:
		h.reply.Schedule(millis(a.At), a.Key)
	case brain.Subscribe:
		h.reply.Subscribe(true)
	case brain.Log:
		h.reply.Remark(a.Text)
	case fatal:
		h.reply.Fatal(a.text)
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
