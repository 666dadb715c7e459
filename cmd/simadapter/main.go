// Benchlink connects the policy module to the bench: it turns frames of the simulator's wire into events and
// actions into frames, with one Gateway for each instance. It makes no decision.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"frostpier/internal/testbed/simproto"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends between two frames.
func run(in io.Reader, out io.Writer) error {
	r, l := bufio.NewReaderSize(in, 1<<20), newLink()
	var buf []byte
	for {
		batch, err := simproto.ReadBatch(r)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		actions, err := l.answer(batch)
		if err != nil {
			return err
		}
		buf = simproto.AppendReply(buf[:0], actions)
		if _, err := out.Write(buf); err != nil {
			return err
		}
	}
}
