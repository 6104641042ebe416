package disklog

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// FileSystem is the folder in which a log keeps its files.
type FileSystem interface {
	// Open opens the named file for reading and writing, and makes it, empty, if it is missing.
	Open(name string) (File, error)
	// SyncFolder makes the folder's entries durable: the files made since the last call.
	SyncFolder() error
}

// File is one open file. Offsets and sizes are in bytes.
type File interface {
	// ReadAt reads as io.ReaderAt does.
	ReadAt(data []byte, offset int64) (int, error)
	// WriteAt writes as io.WriterAt does. What it wrote is durable only after Sync.
	WriteAt(data []byte, offset int64) (int, error)
	// Truncate sets the length. What it adds reads as zeros.
	Truncate(size int64) error
	// Size returns the length.
	Size() (int64, error)
	// Sync makes everything written to the file so far durable.
	Sync() error
	// Close lets go of the file, without a sync.
	Close() error
}

// folderMode and fileMode keep the log to the user who runs the member.
const (
	folderMode fs.FileMode = 0o700
	fileMode   fs.FileMode = 0o600
)

// OS returns the folder dir of the operating system's disk. A missing folder is made; its parent
// must exist.
func OS(dir string) (FileSystem, error) {
	err := os.Mkdir(dir, folderMode)
	if err == nil {
		err = syncFolder(filepath.Dir(dir))
	} else if errors.Is(err, fs.ErrExist) {
		err = nil
	}
	if err != nil {
		return nil, writeError(err, "make folder", dir)
	}
	return osFolder{path: dir}, nil
}

type osFolder struct {
	path string
}

func (folder osFolder) Open(name string) (File, error) {
	file, err := os.OpenFile(filepath.Join(folder.path, name), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

func (folder osFolder) SyncFolder() error {
	return syncFolder(folder.path)
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

type osFile struct {
	*os.File
}

func (file osFile) Size() (int64, error) {
	info, err := file.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (file osFile) Sync() error {
	return syncData(file.File)
}
