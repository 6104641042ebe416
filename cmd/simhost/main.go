// Command simhost runs scheduler instances for the simulator. It reads batches of events from standard input
// and writes one reply for each to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"sumacloft/internal/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	h := host{instances: map[uint32]*instance{}}
	for {
		batch, err := wire.ReadBatch(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.batch(batch); err != nil {
			return err
		}
		if _, err := h.reply.WriteTo(out); err != nil {
			return err
		}
	}
}
