package main

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"sumacloft/internal/chat"
	"sumacloft/internal/config"
	"sumacloft/internal/core"
	"sumacloft/internal/etcd"
	"sumacloft/internal/policy"
	"sumacloft/internal/rollout"
)

// joinFleet registers this router in its fleet and has it follow the fleet's policy. The gate is shut until then, and
// again once leave has been called.
func joinFleet(cfg config.Operator, c *core.Core, log *logrus.Logger) (gate *policy.Gate[*chat.Terms], leave func() error, err error) {
	kv, err := etcd.NewClient(cfg.Policy.Endpoints)
	if err != nil {
		return nil, nil, err
	}
	classes := &config.ChatCatalog{}
	agent, err := policy.Open(policy.Options[*chat.Terms]{
		Name: cfg.Policy.Name, Listen: cfg.Listen, Endpoints: cfg.Policy.Endpoints, Dir: cfg.Store.Dir, OnLapse: cfg.Policy.OnLapse,
		Lease: cfg.Policy.Lease(), Margin: cfg.Policy.Margin(), Patience: cfg.Policy.Hold(), Most: cfg.Policy.HoldMost,
		First: func(ctx context.Context) (string, error) { return earlier(ctx, kv, cfg) },
		Check: func(text string) error {
			_, err := cfg.Under(text)
			return err
		},
		TakeUp: func(v rollout.Version) (*chat.Terms, error) {
			set, err := cfg.Under(v.Text)
			if err != nil {
				return nil, err
			}
			brain, places := classes.Take(set)
			c.Retune(brain)
			return chat.NewTerms(set, places, v.Version), nil
		},
		Log: log, Broken: policy.Injected()})
	if err != nil {
		return nil, nil, errors.Join(err, kv.Close())
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		agent.Run(ctx)
	}()
	if cfg.Store.ID != "" {
		go fill(ctx, kv, cfg, log)
	}
	return agent.Gate(), func() error {
		stop()
		<-done
		return errors.Join(agent.Close(), kv.Close())
	}, nil
}
