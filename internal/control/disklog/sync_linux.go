package disklog

import (
	"errors"
	"os"

	"golang.org/x/sys/unix"
)

// syncData makes the file's contents and length durable, without a write of its times.
func syncData(file *os.File) error {
	for {
		err := unix.Fdatasync(int(file.Fd()))
		if !errors.Is(err, unix.EINTR) {
			return os.NewSyscallError("fdatasync", err)
		}
	}
}
