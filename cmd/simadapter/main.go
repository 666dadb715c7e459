// Simadapter connects the decision module to the simulator: it reads batches of events from standard input, passes
// each event to the policy.Gateway of its instance and writes the actions to standard output. It makes no decision.
//
// It runs in one goroutine and ends when the input ends between two frames.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"frostpier/internal/testbed/simproto"
)

// readBufferSize is the size of the buffer before the input, in bytes.
const readBufferSize = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends. Input that ends within a frame is an error.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, readBufferSize)
	a := newAdapter()
	var frame []byte
	for {
		batch, err := simproto.ReadBatch(reader)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		actions, err := a.reply(batch)
		if err != nil {
			return err
		}
		frame = simproto.AppendReply(frame[:0], actions)
		if _, err := out.Write(frame); err != nil {
			return err
		}
	}
}
