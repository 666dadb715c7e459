package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"frostpier/internal/testutil"
)

// TestCommandLineMatchesGolden checks that commands, arguments, flags, their defaults and the exit codes are unchanged.
func TestCommandLineMatchesGolden(t *testing.T) {
	t.Parallel()
	var c commandLine
	parser, err := kong.New(&c, kong.Name("frostpier"))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, command := range parser.Model.Leaves(false) {
		fmt.Fprintf(&out, "%s\n", command.Path())
		for _, argument := range command.Positional {
			fmt.Fprintf(&out, "  argument %s\n", argument.Summary())
		}
		for _, flags := range command.AllFlags(false) {
			for _, f := range flags {
				fmt.Fprintf(&out, "  flag --%s default %q\n", f.Name, f.Default)
			}
		}
	}
	fmt.Fprintf(&out, "exit codes %d %d %d %d %d %d\n", exitOK, exitError, exitInvalid, exitConflict, exitRolledBack, exitInterrupted)
	testutil.Golden(t, "commandline.golden", []byte(out.String()))
}
