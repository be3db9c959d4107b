package logging

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// Guards against a value with spaces or line breaks splitting an event over several lines or pairs.
func TestEventIsOneLineOfPairs(t *testing.T) {
	var out bytes.Buffer
	logger := New(&out, zerolog.InfoLevel)
	logger.Info().Str(KeyReason, "two words\nand a line").Int(KeyEpoch, 7).Msg("unit claimed")
	line := out.String()
	if strings.Count(line, "\n") != 1 {
		t.Errorf("event spans several lines: %q", line)
	}
	want := `level=info message="unit claimed" epoch=7 reason="two words\nand a line"`
	if !strings.Contains(line, want) {
		t.Errorf("line %q does not contain %q", line, want)
	}
}
