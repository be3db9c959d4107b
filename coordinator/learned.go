package coordinator

import (
	"context"
	"time"

	"bronzehook/fault"
)

const (
	// learnedObject names the object that holds what the decider has learned.
	learnedObject = "learned/coordinator"
	// learnedInterval is the time between two writes of it. Its loss costs accuracy only.
	learnedInterval = time.Minute
	// objectTimeout bounds one call to the object store.
	objectTimeout = 5 * time.Second
)

// restoreLearned hands the decider what an earlier coordinator had learned.
func (c *Coordinator) restoreLearned(t *term) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), objectTimeout)
		defer cancel()
		data, err := c.options.Objects.Get(ctx, learnedObject)
		if err != nil {
			if !fault.Is(err, fault.CodeNotFound) {
				c.log.Warn().Err(err).Msg("learned models not read")
			}
			return
		}
		c.options.Loop.Post(func() {
			if c.term != t {
				return
			}
			if err := c.options.Decider.Restore(data); err != nil {
				c.log.Warn().Err(err).Msg("learned models not restored")
			}
		})
	}()
}

// saveLearned writes what the decider has learned.
func (c *Coordinator) saveLearned() {
	if !c.Active() {
		return
	}
	data, err := c.options.Decider.Export()
	if err != nil {
		c.log.Warn().Err(err).Msg("learned models not exported")
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), objectTimeout)
		defer cancel()
		if err := c.options.Objects.Put(ctx, learnedObject, data); err != nil {
			c.log.Warn().Err(err).Msg("learned models not written")
		}
	}()
}
