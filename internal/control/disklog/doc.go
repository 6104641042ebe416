// Package disklog is the durable log of a control member: a ring of preallocated files.
//
// # Files
//
// A log owns one folder. It holds the control file and Options.Segments segment files of
// Options.SegmentBytes each, all of which get their full length when the log is made, so that
// an append changes no file length.
//
//	control.log       two slots, written in turn; the newest valid slot says where the log begins
//	segment-0000.log  a header, then records one after the other
//	segment-0001.log  ...
//
// The segments form a ring. A checkpoint is written to the segments after those in use, synced,
// and then committed with one write of a control slot. Only that commit frees the older
// segments, so a loss of power at any point recovers either the old state in full or the
// checkpoint.
//
// # Which records count
//
// The checksum of each record covers the checksum before it, and the first one in a segment
// covers the segment's header. Every write carries a stamp that is never used twice: the number
// of this opening of the log, made durable before anything is written, and a count of writes.
// A record that an earlier turn of the ring, a failed write or a torn tail left behind
// therefore never continues the chain, even if its contents are the same.
//
// # Failed writes
//
// An Append or Checkpoint that fails leaves the log where it was, and the next one writes over
// the same place. Until one succeeds, or Open does, the records of the failed call may or may
// not be there after a loss of power. A commit of unknown outcome is first taken back, durably,
// before anything else is written. Open writes the last batch it found once more, as the process
// before may have ended between the write and the sync, or after a failed sync.
//
// A Log is for one goroutine. It never waits for anything but the disk.
package disklog
