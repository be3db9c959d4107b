package coordinator

import (
	"context"
	"time"

	"bronzehook/fault"
)

const (
	// modelStateObject names the object that holds the decider's model state.
	modelStateObject = "learned/coordinator"
	// modelSaveInterval is the time between two writes of the model state. Its loss costs accuracy only.
	modelSaveInterval = time.Minute
	// objectTimeout bounds one call to the object store.
	objectTimeout = 5 * time.Second
)

// restoreModelState loads the model state that an earlier coordinator saved.
func (c *Coordinator) restoreModelState(t *term) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), objectTimeout)
		defer cancel()
		data, err := c.options.Objects.Get(ctx, modelStateObject)
		if err != nil {
			if !fault.Is(err, fault.CodeNotFound) {
				c.log.Warn().Err(err).Msg("model state not read")
			}
			return
		}
		c.options.Loop.Post(func() {
			if c.term != t {
				return
			}
			if err := c.options.Decider.Restore(data); err != nil {
				c.log.Warn().Err(err).Msg("model state not restored")
			}
		})
	}()
}

// saveModelState writes the decider's model state to the object store.
func (c *Coordinator) saveModelState() {
	if !c.Active() {
		return
	}
	data, err := c.options.Decider.Export()
	if err != nil {
		c.log.Warn().Err(err).Msg("model state not exported")
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), objectTimeout)
		defer cancel()
		if err := c.options.Objects.Put(ctx, modelStateObject, data); err != nil {
			c.log.Warn().Err(err).Msg("model state not written")
		}
	}()
}
