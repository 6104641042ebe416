package configstate

import (
	"bytes"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/flate"

	"sumacloft/internal/opconf"
)

const (
	// snapshotFormat is the format of snapshots; it rises when an older release can no longer read them.
	snapshotFormat = 3
	// maxDocumentBytes bounds what a snapshot may unpack to.
	maxDocumentBytes = 64 << 20
)

// FormatError tells that a snapshot was written by a release that this one does not understand.
type FormatError struct {
	Format int
}

// Error says what to do about the snapshot.
func (e *FormatError) Error() string {
	return fmt.Sprintf("snapshot has format %d and %d is known; run a release that knows it", e.Format, snapshotFormat)
}

// snapshot is a State as it is stored and sent to other replicas.
type snapshot struct {
	_        struct{} `cbor:",toarray"`
	Format   int
	Index    uint64
	Length   int    // length of the unpacked document; 0 where there is no configuration
	Document []byte // the JSON document, packed with DEFLATE
	Taken    []takenOrder
	Refused  []refusedOrder
	// Forgotten is the highest version of taken orders that are not remembered.
	Forgotten uint64
}

// secondSnapshot is a State as releases of the second format stored it: without the bases of refused orders.
type secondSnapshot struct {
	_         struct{} `cbor:",toarray"`
	Format    int
	Index     uint64
	Length    int
	Document  []byte
	Taken     []takenOrder
	Refused   []digest
	Forgotten uint64
}

// upgraded is the snapshot in the format of this release.
func (s *secondSnapshot) upgraded() snapshot {
	next := snapshot{Format: snapshotFormat, Index: s.Index, Length: s.Length, Document: s.Document, Taken: s.Taken, Forgotten: s.Forgotten}
	for _, order := range s.Refused {
		next.Refused = append(next.Refused, refusedOrder{Digest: order})
	}
	return next
}

// firstSnapshot is a State as releases before the second format stored it.
type firstSnapshot struct {
	_        struct{} `cbor:",toarray"`
	Format   int
	Index    uint64
	Length   int
	Document []byte
	Taken    []takenOrder
}

// read decodes the image of a snapshot of any format that is known.
func read(image []byte) (snapshot, error) {
	var stored snapshot
	err := cbor.Unmarshal(image, &stored)
	if err == nil && stored.Format != 2 {
		return stored, nil
	}
	var second secondSnapshot
	if cbor.Unmarshal(image, &second) == nil && second.Format == 2 {
		return second.upgraded(), nil
	}
	var first firstSnapshot
	if cbor.Unmarshal(image, &first) != nil {
		return snapshot{}, Error.New("snapshot is damaged, restore this replica from another one: %w", err)
	}
	if first.Format != 1 {
		return snapshot{}, Error.Wrap(&FormatError{Format: first.Format})
	}
	return snapshot{Format: snapshotFormat, Index: first.Index, Length: first.Length, Document: first.Document, Taken: first.Taken}, nil
}

// Snapshot returns the whole state, for Restore.
func (s *State) Snapshot() []byte {
	stored := snapshot{Format: snapshotFormat, Index: s.index, Taken: s.taken.list(), Refused: s.refused.orders, Forgotten: s.taken.forgotten}
	if s.current != nil {
		document := s.current.Raw()
		stored.Length = len(document)
		stored.Document = pack(document)
	}
	image, err := cbor.Marshal(stored)
	mustWork(err)
	return image
}

// Restore replaces the state by that of a snapshot. It fails with Error and then changes nothing.
func (s *State) Restore(image []byte) error {
	stored, err := read(image)
	if err != nil {
		return err
	}
	if stored.Format != snapshotFormat {
		return Error.Wrap(&FormatError{Format: stored.Format})
	}
	current, err := stored.configuration()
	if err != nil {
		return Error.New("configuration in the snapshot is damaged, restore this replica from another one: %w", err)
	}
	restored := State{current: current, index: stored.Index, faults: s.faults}
	for _, order := range stored.Taken {
		restored.taken.add(order)
	}
	for _, order := range stored.Refused {
		restored.refused.add(order)
	}
	restored.taken.forgotten = stored.Forgotten
	*s = restored
	return nil
}

// configuration reads the configuration in a snapshot, nil where there is none.
func (s *snapshot) configuration() (*opconf.Configuration, error) {
	if s.Length == 0 {
		return nil, nil
	}
	document, err := unpack(s.Document, s.Length)
	if err != nil {
		return nil, err
	}
	return opconf.Parse(document)
}

// pack packs a document with DEFLATE.
func pack(document []byte) []byte {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	mustWork(err)
	_, err = writer.Write(document)
	mustWork(err)
	mustWork(writer.Close())
	return packed.Bytes()
}

// mustWork panics on a failure that only a defect of this program can bring about: encoding plain values to memory.
func mustWork(err error) {
	if err != nil {
		panic(Error.New("snapshot cannot be encoded, report this as a defect: %w", err))
	}
}

// unpack unpacks a document of the given length.
func unpack(packed []byte, length int) ([]byte, error) {
	if length < 0 || length > maxDocumentBytes {
		return nil, Error.New("its length of %d bytes is not from 0 to %d", length, maxDocumentBytes)
	}
	reader := flate.NewReader(bytes.NewReader(packed))
	document := make([]byte, length)
	if _, err := io.ReadFull(reader, document); err != nil {
		return nil, err
	}
	return document, nil
}
