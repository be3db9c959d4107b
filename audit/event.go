// Package audit keeps the trail of changes: who did what to which subject, with what result. Events arrive on the kernel
// bus, are kept in bounded memory and are written to the platform's table in batches.
package audit

import (
	"strings"
	"time"

	"bronzehook/api"
	"bronzehook/kernel"
)

// Topic carries events towards the trail.
const Topic kernel.Topic = "audit"

// maxTextBytes bounds each text of an event.
const maxTextBytes = 512

// Event is one entry of the trail.
type Event struct {
	Time     time.Time      `json:"time" cbor:"1,keyasint"`
	Instance api.InstanceID `json:"instance" cbor:"2,keyasint"`
	// Actor is the operator, or the part of the system that acted.
	Actor   string `json:"actor" cbor:"3,keyasint"`
	Action  string `json:"action" cbor:"4,keyasint"`
	Subject string `json:"subject" cbor:"5,keyasint"`
	From    string `json:"from,omitempty" cbor:"6,keyasint,omitempty"`
	To      string `json:"to,omitempty" cbor:"7,keyasint,omitempty"`
	// Result is "ok" or the code of the failure.
	Result string `json:"result" cbor:"8,keyasint"`
	Reason string `json:"reason,omitempty" cbor:"9,keyasint,omitempty"`
}

// ResultOK is the result of what succeeded.
const ResultOK = "ok"

// Publish sends an event to the trail by way of the bus. It waits while the trail lags behind by the bus's buffer.
func Publish(bus *kernel.Bus, event Event) error { return kernel.Publish(bus, Topic, event) }

// bounded returns the event with its texts shortened, so that a row stays small.
func bounded(e Event) Event {
	for _, text := range []*string{&e.Actor, &e.Action, &e.Subject, &e.From, &e.To, &e.Result, &e.Reason} {
		if len(*text) > maxTextBytes {
			*text = strings.ToValidUTF8((*text)[:maxTextBytes], "")
		}
	}
	return e
}
