package main

import (
	"io"

	"github.com/zeebo/errs"
)

// writeError is the class of output that nobody takes.
var writeError = errs.Class("output: check what the command writes to")

// streams is where a command writes.
type streams struct {
	out   io.Writer // the answer
	notes io.Writer // what is for people only
}

func (s *streams) print(text string) error {
	_, err := io.WriteString(s.out, text)
	return writeError.Wrap(err)
}

func (s *streams) note(text string) error {
	_, err := io.WriteString(s.notes, text)
	return writeError.Wrap(err)
}
