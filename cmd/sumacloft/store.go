package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc"

	"sumacloft/internal/config"
	"sumacloft/internal/etcd"
	"sumacloft/internal/store"
)

// openStore opens this daemon's node and serves it; applied is the revision that the node has. The key that once held
// [chat] is not written by hand any more: the policy took its place.
func openStore(cfg config.Operator, log *logrus.Logger) (shut func() error, applied func() int64, err error) {
	peers := make([]store.Peer, len(cfg.Store.Peers))
	for i, p := range cfg.Store.Peers {
		peers[i] = store.Peer(p)
	}
	listener, err := net.Listen("tcp", cfg.Store.Self().Client)
	if err != nil {
		return nil, nil, fmt.Errorf("store: %w", err)
	}
	node, err := store.Open(store.Options{Self: store.Peer(cfg.Store.Self()), Peers: peers, Dir: cfg.Store.Dir,
		Heartbeat:       config.Millis(cfg.Store.HeartbeatMs),
		SnapshotEntries: cfg.Store.SnapshotEntries, SnapshotEvery: config.Millis(cfg.Store.SnapshotMs),
		KeepRevisions: cfg.Store.KeepRevisions, Log: log.WriterLevel(logrus.WarnLevel)})
	if err != nil {
		return nil, nil, errors.Join(err, listener.Close())
	}
	server := grpc.NewServer()
	reserved := map[string]string{}
	if cfg.Store.ConfigKey != "" {
		reserved[cfg.Store.ConfigKey] = "the fleet's policy took its place: change it with 'sumactl policy apply FILE'"
	}
	etcd.Register(server, node, reserved)
	go func() {
		if err := server.Serve(listener); err != nil {
			log.WithError(err).Error("the store's API stopped")
		}
	}()
	return func() error {
		server.Stop()
		return node.Close()
	}, node.Revision, nil
}

// earlier gives the file's policy, or that of the key which held [chat] before there were policies.
func earlier(ctx context.Context, kv *etcd.Client, cfg config.Operator) (string, error) {
	if cfg.Store.ConfigKey == "" {
		return cfg.FirstPolicy(), nil
	}
	resp, err := kv.Range(ctx, &pb.RangeRequest{Key: []byte(cfg.Store.ConfigKey)})
	if err != nil {
		return "", err
	}
	if len(resp.Kvs) > 0 {
		if cfg, err = cfg.ReadChat(string(resp.Kvs[0].Value)); err != nil {
			return "", err
		}
	}
	return cfg.FirstPolicy(), nil
}

// fill writes the file's servers into the store if it knows no members, as soon as it answers.
func fill(ctx context.Context, kv *etcd.Client, cfg config.Operator, log logrus.FieldLogger) {
	etcd.Repeat(ctx, func() error { return fillOnce(ctx, kv, cfg) }, func(err error) {
		log.WithError(err).Debug("members: the store does not answer yet")
	})
}

func fillOnce(ctx context.Context, kv *etcd.Client, cfg config.Operator) error {
	resp, err := kv.Range(ctx, etcd.Under(cfg.Members.Prefix, false))
	if err != nil || len(resp.Kvs) > 0 {
		return err
	}
	txn := &pb.TxnRequest{}
	for _, m := range cfg.Chat.Members() {
		value, err := json.Marshal(m)
		if err != nil {
			return err
		}
		key := cfg.Members.Prefix + m.ID
		txn.Compare = append(txn.Compare, etcd.At(key, 0))
		txn.Success = append(txn.Success, etcd.Put(key, value, 0))
	}
	if len(txn.Success) > 0 {
		_, err = kv.Txn(ctx, txn) // another daemon that was first has written the same
	}
	return err
}
