package logging

import (
	"bytes"
	"io"
	"slices"

	"github.com/rs/zerolog"
)

// lineWriter turns zerolog's JSON events into key=value lines. zerolog's own ConsoleWriter prints bare level and
// message columns, which key=value tools cannot read.
type lineWriter struct{ out io.Writer }

var leadingKeys = []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName}

// field is one member of an event, still encoded as JSON.
type field struct{ key, value []byte }

// Write converts one event. Write is called once for each event.
func (w *lineWriter) Write(event []byte) (int, error) {
	var space [24]field
	fields, ok := splitEvent(event, space[:0])
	if !ok {
		return w.out.Write(event)
	}
	line := make([]byte, 0, len(event)+8)
	for _, key := range leadingKeys {
		for _, f := range fields {
			if string(f.key) == key {
				line = appendPair(line, f)
			}
		}
	}
	slices.SortStableFunc(fields, func(a, b field) int { return bytes.Compare(a.key, b.key) })
	for _, f := range fields {
		if !slices.Contains(leadingKeys, string(f.key)) {
			line = appendPair(line, f)
		}
	}
	line = append(line, '\n')
	if _, err := w.out.Write(line); err != nil {
		return 0, err
	}
	return len(event), nil
}

// splitEvent splits a flat JSON object into its members. Nested values stay as they are.
func splitEvent(event []byte, fields []field) ([]field, bool) {
	rest := bytes.TrimSpace(event)
	if len(rest) < 2 || rest[0] != '{' || rest[len(rest)-1] != '}' {
		return nil, false
	}
	rest = rest[1 : len(rest)-1]
	for len(rest) > 0 {
		keyEnd := valueEnd(rest)
		if keyEnd < 2 || keyEnd >= len(rest) || rest[0] != '"' || rest[keyEnd] != ':' {
			return nil, false
		}
		f := field{key: rest[1 : keyEnd-1]}
		rest = rest[keyEnd+1:]
		end := valueEnd(rest)
		f.value = rest[:end]
		fields = append(fields, f)
		rest = rest[end:]
		if len(rest) > 0 {
			rest = rest[1:]
		}
	}
	return fields, true
}

// valueEnd returns the length of the JSON value, up to a comma or colon, with which text begins.
func valueEnd(text []byte) int {
	depth, quoted := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			depth--
		case depth == 0 && (c == ',' || c == ':'):
			return i
		}
	}
	return len(text)
}

// appendPair adds a pair. Texts lose their quotes if they can be read without.
func appendPair(line []byte, f field) []byte {
	if len(line) > 0 {
		line = append(line, ' ')
	}
	line = append(line, f.key...)
	line = append(line, '=')
	value := f.value
	if len(value) >= 2 && value[0] == '"' {
		if inner := value[1 : len(value)-1]; len(inner) > 0 && !bytes.ContainsAny(inner, " =\"\\\n\t") {
			return append(line, inner...)
		}
		return append(line, value...)
	}
	if bytes.ContainsAny(value, " =\"") {
		return appendQuoted(line, value)
	}
	return append(line, value...)
}

func appendQuoted(line, value []byte) []byte {
	line = append(line, '"')
	for _, c := range value {
		if c == '"' || c == '\\' {
			line = append(line, '\\')
		}
		line = append(line, c)
	}
	return append(line, '"')
}
