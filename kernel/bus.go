package kernel

import (
	"context"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Topic is the name of a stream of events of one type.
type Topic string

// subscriberBuffer is the number of events that a subscriber may lag behind before publishers wait for it.
const subscriberBuffer = 256

// Bus carries events between the services of a process over a watermill channel. Events are CBOR-encoded, so that a
// subscriber cannot modify the copy of the publisher or of another subscriber.
type Bus struct {
	channel *gochannel.GoChannel
}

// NewBus returns a bus without subscribers.
func NewBus() *Bus {
	// If publishers did not wait for the acknowledgement, watermill would deliver each message from its own goroutine
	// and a subscriber could receive events out of order.
	config := gochannel.Config{BlockPublishUntilSubscriberAck: true}
	return &Bus{channel: gochannel.NewGoChannel(config, watermill.NopLogger{})}
}

// Publish delivers an event to every subscriber of the topic.
func Publish[E any](b *Bus, topic Topic, event E) error {
	payload, err := cbor.Marshal(event)
	if err != nil {
		return errors.Wrapf(err, "encode event for %s", topic)
	}
	msg := message.NewMessage(watermill.NewULID(), payload)
	return errors.Wrapf(b.channel.Publish(string(topic), msg), "publish to %s", topic)
}

// Subscribe calls handle for every event of the topic published from now on, one at a time and in order, until the
// context ends. An event that does not decode as an E is dropped. Publisher and subscriber are in the same binary, so
// this only happens if a topic is used with two types.
func Subscribe[E any](ctx context.Context, b *Bus, topic Topic, handle func(E)) error {
	messages, err := b.channel.Subscribe(ctx, string(topic))
	if err != nil {
		return errors.Wrapf(err, "subscribe to %s", topic)
	}
	events := make(chan E, subscriberBuffer)
	go func() {
		defer close(events)
		for msg := range messages {
			var event E
			if cbor.Unmarshal(msg.Payload, &event) == nil {
				events <- event
			}
			msg.Ack()
		}
	}()
	go func() {
		for event := range events {
			handle(event)
		}
	}()
	return nil
}

// Close ends all subscriptions.
func (b *Bus) Close() error { return errors.Wrap(b.channel.Close(), "close bus") }
