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

// DefaultLimit is the maximum number of events that List returns if the query sets no limit.
const DefaultLimit = 200

// Query filters events.
type Query struct {
	// Since excludes earlier events.
	Since time.Time
	// Subject excludes events whose subject does not contain this text; if it is empty, all subjects match.
	Subject string
	// Limit is the maximum number of events; the latest ones are returned.
	Limit int
}

func (q Query) matches(e Event) bool {
	return !e.Time.Before(q.Since) && (q.Subject == "" || strings.Contains(e.Subject, q.Subject))
}

// List reads the rows of all instances and returns their events sorted by time. An event appears once its batch has been
// written, about one write interval after it was recorded.
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
