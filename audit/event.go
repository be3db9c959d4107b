// Package audit keeps the audit log: who did what to which subject, and with what result. It receives events from the
// event bus of package kernel, buffers a bounded number of them in memory and writes them to the platform's table in
// batches.
package audit

import (
	"strings"
	"time"

	"bronzehook/api"
	"bronzehook/kernel"
)

// Topic is the bus topic of audit events.
const Topic kernel.Topic = "audit"

// maxTextBytes is the maximum length of each text field of an event.
const maxTextBytes = 512

// Event is one entry of the audit log.
type Event struct {
	Time     time.Time      `json:"time" cbor:"1,keyasint"`
	Instance api.InstanceID `json:"instance" cbor:"2,keyasint"`
	// Actor is the operator or the component that performed the action.
	Actor   string `json:"actor" cbor:"3,keyasint"`
	Action  string `json:"action" cbor:"4,keyasint"`
	Subject string `json:"subject" cbor:"5,keyasint"`
	From    string `json:"from,omitempty" cbor:"6,keyasint,omitempty"`
	To      string `json:"to,omitempty" cbor:"7,keyasint,omitempty"`
	// Result is ResultOK or the fault code of the failure.
	Result string `json:"result" cbor:"8,keyasint"`
	Reason string `json:"reason,omitempty" cbor:"9,keyasint,omitempty"`
}

// ResultOK is the result of an action that succeeded.
const ResultOK = "ok"

// Publish sends an event to the audit log through the bus. It blocks while the bus's buffer for the audit log is full.
func Publish(bus *kernel.Bus, event Event) error { return kernel.Publish(bus, Topic, event) }

// truncateTexts returns the event with each text field cut to maxTextBytes, which keeps rows small.
func truncateTexts(e Event) Event {
	for _, text := range []*string{&e.Actor, &e.Action, &e.Subject, &e.From, &e.To, &e.Result, &e.Reason} {
		if len(*text) > maxTextBytes {
			*text = strings.ToValidUTF8((*text)[:maxTextBytes], "")
		}
	}
	return e
}
