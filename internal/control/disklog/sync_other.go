//go:build !linux

package disklog

import "os"

// syncData makes the file's contents and length durable.
func syncData(file *os.File) error {
	return file.Sync()
}
