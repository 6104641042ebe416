package partition

import "context"

// Note returns the note that was on disk at the start. See SaveNote.
func (h *Host) Note() []byte { return h.writer.initialNote }

// SaveNote stores a note on disk beside the partitions and waits until it is there. If the context ends first, the note may
// still be stored later.
func (h *Host) SaveNote(ctx context.Context, note []byte) error {
	stored := make(chan struct{})
	h.writer.writeNote(note, func() { close(stored) })
	select {
	case <-stored:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}
