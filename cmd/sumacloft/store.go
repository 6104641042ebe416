package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc"

	"sumacloft/internal/config"
	"sumacloft/internal/etcd"
	"sumacloft/internal/store"
)

// storeWait is how long a start waits for the store to have a leader and to answer.
const storeWait = 30 * time.Second

// openStore opens this daemon's node and serves it, writes the file's servers into it if it knows no members,
// and gives the configuration as the store has it.
func openStore(cfg config.Operator, log *logrus.Logger) (config.Operator, func() error, error) {
	peers := make([]store.Peer, len(cfg.Store.Peers))
	for i, p := range cfg.Store.Peers {
		peers[i] = store.Peer(p)
	}
	listener, err := net.Listen("tcp", cfg.Store.Self().Client)
	if err != nil {
		return cfg, nil, fmt.Errorf("store: %w", err)
	}
	node, err := store.Open(store.Options{Self: store.Peer(cfg.Store.Self()), Peers: peers, Dir: cfg.Store.Dir, Log: log.WriterLevel(logrus.WarnLevel)})
	if err != nil {
		return cfg, nil, errors.Join(err, listener.Close())
	}
	server := grpc.NewServer()
	kv := etcd.Register(server, node)
	go func() {
		if err := server.Serve(listener); err != nil {
			log.WithError(err).Error("the store's API stopped")
		}
	}()
	shut := func() error {
		server.Stop()
		return node.Close()
	}
	ctx, done := context.WithTimeout(context.Background(), storeWait)
	defer done()
	if err := node.Ready(ctx); err != nil {
		return cfg, nil, errors.Join(err, shut())
	}
	out, err := fromStore(ctx, kv, cfg)
	if err != nil {
		return cfg, nil, errors.Join(fmt.Errorf("store: %w", err), shut())
	}
	return out, shut, nil
}

// fromStore reads [chat] from the store and fills in the members, all in one transaction if there are none.
func fromStore(ctx context.Context, kv pb.KVServer, cfg config.Operator) (config.Operator, error) {
	end := []byte(cfg.Members.Prefix)
	end[len(end)-1]++
	read := func(key, end []byte) (resp *pb.RangeResponse, err error) {
		for { // a leader may just be changing
			if resp, err = kv.Range(ctx, &pb.RangeRequest{Key: key, RangeEnd: end}); err == nil || ctx.Err() != nil {
				return resp, err
			}
			select {
			case <-ctx.Done():
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	if cfg.Store.ConfigKey != "" {
		resp, err := read([]byte(cfg.Store.ConfigKey), nil)
		if err != nil {
			return cfg, err
		}
		if len(resp.Kvs) > 0 {
			if cfg, err = cfg.ReadChat(string(resp.Kvs[0].Value)); err != nil {
				return cfg, err
			}
		}
	}
	resp, err := read([]byte(cfg.Members.Prefix), end)
	if err != nil || len(resp.Kvs) > 0 {
		return cfg, err
	}
	fill := &pb.TxnRequest{}
	for _, m := range cfg.Chat.Members() {
		value, err := json.Marshal(m)
		if err != nil {
			return cfg, err
		}
		key := []byte(cfg.Members.Prefix + m.ID)
		fill.Compare = append(fill.Compare, &pb.Compare{Key: key, Target: pb.Compare_MOD, TargetUnion: &pb.Compare_ModRevision{}})
		fill.Success = append(fill.Success, &pb.RequestOp{Request: &pb.RequestOp_RequestPut{RequestPut: &pb.PutRequest{Key: key, Value: value}}})
	}
	if len(fill.Success) > 0 {
		_, err = kv.Txn(ctx, fill) // another daemon that was first has written the same
	}
	return cfg, err
}
