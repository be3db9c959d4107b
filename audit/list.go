package audit

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"

	"bronzehook/fault"
)

// DefaultLimit is the number of events that List returns if the query names none.
const DefaultLimit = 200

// Query selects events.
type Query struct {
	// Since leaves out earlier events.
	Since time.Time
	// Subject leaves out events of other subjects, unless it is empty.
	Subject string
	// Limit keeps the latest events only.
	Limit int
}

func (q Query) matches(e Event) bool {
	return !e.Time.Before(q.Since) && (q.Subject == "" || strings.Contains(e.Subject, q.Subject))
}

// List reads the rows of all instances and merges their events in the order of time. An event shows up once its batch
// was written, about one write interval after it was recorded.
func (t *Trail) List(ctx context.Context, query Query) ([]Event, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, t.options.Clock, t.options.TableTimeout)
	defer cancel()
	rows, err := t.options.Table.List(ctx, keyPrefix)
	if err != nil {
		return nil, err
	}
	events := []Event{}
	for _, row := range rows {
		var b batch
		if err := cbor.Unmarshal(row.Value, &b); err != nil {
			return nil, fault.New(fault.CodeInternal, "list audit", "%s cannot be decoded: %s", row.Key, err)
		}
		events = append(events, slices.DeleteFunc(b.Events, func(e Event) bool { return !query.matches(e) })...)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return a.Time.Compare(b.Time) })
	limit := query.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	return events[max(0, len(events)-limit):], nil
}
