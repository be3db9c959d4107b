package api

import "fmt"

// Urgency ranks workloads and requests by how soon they have to be served. A larger value is more urgent.
type Urgency uint8

// The urgencies, from least to most urgent.
const (
	Low Urgency = iota
	Normal
	High
	Critical
)

// UrgencyCount is the number of urgencies; arrays indexed by Urgency have this length.
const UrgencyCount = 4

var urgencyNames = [UrgencyCount]string{"low", "normal", "high", "critical"}

// ParseError reports a text that is not a valid value of a type.
type ParseError struct {
	Type string
	Text string
	// Accepted lists the valid texts.
	Accepted []string
}

// Error implements error.
func (e *ParseError) Error() string {
	return fmt.Sprintf("%q is not a valid %s; accepted: %v", e.Text, e.Type, e.Accepted)
}

// ParseUrgency parses the name of an urgency.
func ParseUrgency(text string) (Urgency, error) {
	for i, name := range urgencyNames {
		if name == text {
			return Urgency(i), nil
		}
	}
	return 0, &ParseError{Type: "urgency", Text: text, Accepted: urgencyNames[:]}
}

// String returns the name that is used in configuration files, headers, metrics and logs.
func (u Urgency) String() string {
	if int(u) < len(urgencyNames) {
		return urgencyNames[u]
	}
	return fmt.Sprintf("urgency(%d)", uint8(u))
}

// MarshalText implements encoding.TextMarshaler.
func (u Urgency) MarshalText() ([]byte, error) { return []byte(u.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (u *Urgency) UnmarshalText(text []byte) error {
	parsed, err := ParseUrgency(string(text))
	if err != nil {
		return err
	}
	*u = parsed
	return nil
}
