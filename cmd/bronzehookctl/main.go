// Command bronzehookctl is the operators' command line.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"bronzehook/fault"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	parser := flags.NewNamedParser("bronzehookctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return fault.ExitUsage
	}
	return fault.ExitOK
}
