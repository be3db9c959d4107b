package session

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary is the path of the instance binary, which is built once for all tests.
var binary string

func TestMain(m *testing.M) {
	os.Exit(runSessions(m))
}

func runSessions(m *testing.M) int {
	dir, err := os.MkdirTemp("", "bronzehook-session")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "bronzehook")
	if out, err := exec.Command("go", "build", "-o", binary, "bronzehook/cmd/bronzehook").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the instance: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
