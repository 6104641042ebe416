package policy

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/google/uuid"

	"sumacloft/internal/decide/rollout"
)

// home is a router's directory, locked while the router runs: whoever holds the lock knows that every earlier process
// of this directory is gone.
type home struct {
	dir  string
	id   string
	lock *os.File
}

// copy is what a router that serves on while the store is away keeps of the policy. Prepared names the change that
// it prepared last: after that the version may have been replaced.
type copied struct {
	Version  *rollout.Version `json:"version"`
	Prepared string           `json:"prepared,omitempty"`
}

// openHome locks a directory; "" stands for none.
func openHome(dir string) (*home, error) {
	if dir == "" {
		return &home{}, nil
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(dir, "router.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: another process runs on this directory: %w", dir, err), lock.Close())
	}
	h := &home{dir: dir, lock: lock}
	at := filepath.Join(dir, "router.id")
	data, err := os.ReadFile(at)
	if errors.Is(err, os.ErrNotExist) {
		data = []byte(uuid.NewString())
		err = replace(at, data)
	}
	if err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	h.id = string(data)
	return h, nil
}

func (h *home) close() error {
	if h.lock == nil {
		return nil
	}
	return h.lock.Close()
}

func (h *home) file() string { return filepath.Join(h.dir, "policy.json") }

// read gives the copy, or nil where there is none.
func (h *home) read() (*copied, error) {
	data, err := os.ReadFile(h.file())
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var c copied
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, fmt.Errorf("%s: %w", h.file(), err)
	}
	return &c, nil
}

func (h *home) write(c copied) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return replace(h.file(), data)
}

func (h *home) forget() error {
	if err := os.Remove(h.file()); !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return nil
}

// replace writes a file so that a crash leaves the old one or the new one, on disk.
func replace(path string, data []byte) error {
	tmp := path + ".new"
	f, err := os.OpenFile(tmp, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := os.Rename(tmp, path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
