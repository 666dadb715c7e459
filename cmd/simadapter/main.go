// Simadapter runs the decision module in the simulator. It reads batches of events from standard input, passes each event
// to the policy.Gateway of its instance and writes the resulting actions to standard output.
//
// It runs in a single goroutine and exits at the end of the input. An input that ends within a frame is an error.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"frostpier/internal/testbed/simproto"
)

// readBufferSize is the size of the input buffer in bytes.
const readBufferSize = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run replies to batches until the input ends. It returns an error if the input ends within a frame.
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
		actions, err := a.handleBatch(batch)
		if err != nil {
			return err
		}
		frame = simproto.AppendReply(frame[:0], actions)
		if _, err := out.Write(frame); err != nil {
			return err
		}
	}
}
