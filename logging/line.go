package logging

import (
	"bytes"
	"io"
	"slices"

	"github.com/rs/zerolog"
)

// lineWriter converts zerolog's JSON events into key=value lines. zerolog's own ConsoleWriter prints bare level and
// message columns, which key=value tools cannot parse.
type lineWriter struct{ out io.Writer }

// leadingKeys are the keys of the pairs at the start of each line, in this order.
var leadingKeys = []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName}

// field is one member of an event. Key and value are still JSON-encoded.
type field struct{ key, value []byte }

// Write converts one event. zerolog calls it once for each event.
func (w *lineWriter) Write(event []byte) (int, error) {
	var fieldArray [24]field
	fields, ok := splitEvent(event, fieldArray[:0])
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

// splitEvent splits a flat JSON object into its members. Nested values are not split.
func splitEvent(event []byte, fields []field) ([]field, bool) {
	rest := bytes.TrimSpace(event)
	if len(rest) < 2 || rest[0] != '{' || rest[len(rest)-1] != '}' {
		return nil, false
	}
	rest = rest[1 : len(rest)-1]
	for len(rest) > 0 {
		keyEnd := valueLength(rest)
		if keyEnd < 2 || keyEnd >= len(rest) || rest[0] != '"' || rest[keyEnd] != ':' {
			return nil, false
		}
		f := field{key: rest[1 : keyEnd-1]}
		rest = rest[keyEnd+1:]
		valueEnd := valueLength(rest)
		f.value = rest[:valueEnd]
		fields = append(fields, f)
		rest = rest[valueEnd:]
		if len(rest) > 0 {
			rest = rest[1:]
		}
	}
	return fields, true
}

// valueLength returns the length of the JSON value at the start of text. The value ends at a comma or colon outside
// quotes and brackets.
func valueLength(text []byte) int {
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

// appendPair appends a key=value pair. Strings are written without quotes where that is unambiguous.
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

// appendQuoted appends a value in quotes and escapes the quotes and backslashes in it.
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
