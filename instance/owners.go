package instance

import (
	"context"
	"sync/atomic"
	"time"

	"bronzehook/api"
	"bronzehook/ownership"
	"bronzehook/peer"
)

// ownersPullInterval is the time between two questions for owners while the table has not been read.
const ownersPullInterval = time.Second

// ownersPull asks an instance who owns what.
type ownersPull struct{}

// ownersReply is what the asked instance read from the table, or learned itself.
type ownersReply struct {
	Owners []ownerEntry `cbor:"1,keyasint,omitempty"`
}

type ownerEntry struct {
	Unit     api.Unit       `cbor:"1,keyasint"`
	Instance api.InstanceID `cbor:"2,keyasint"`
	Session  uint64         `cbor:"3,keyasint"`
	Epoch    api.Epoch      `cbor:"4,keyasint"`
	Deputy   api.InstanceID `cbor:"5,keyasint,omitempty"`
}

func (i *Instance) knownOwners() ownersReply {
	var reply ownersReply
	for unit, o := range i.owners.View().Units {
		reply.Owners = append(reply.Owners, ownerEntry{
			Unit: unit, Instance: o.Instance, Session: o.Session, Epoch: o.Epoch, Deputy: o.Deputy,
		})
	}
	return reply
}

// ownerLearner asks live instances for the owners while the table has not been read, so that an instance that starts
// during an outage of the table can route.
type ownerLearner struct {
	*Instance
	asked time.Time
	busy  atomic.Bool
}

// refresh asks if it is due. It is called on the control goroutine and does not block.
func (l *ownerLearner) refresh() {
	now := l.options.Clock.Now()
	if l.owners.View().Read || now.Sub(l.asked) < ownersPullInterval || l.busy.Swap(true) {
		return
	}
	l.asked = now
	go func() {
		defer l.busy.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		for _, member := range l.live() {
			l.learn(ctx, member.Instance.ID)
		}
	}()
}

func (l *ownerLearner) learn(ctx context.Context, from api.InstanceID) {
	reply, err := call[ownersReply](ctx, l.Instance, from, peer.KindOwnersPull, ownersPull{})
	if err != nil {
		l.log.Debug().Str("peer", string(from)).Err(err).Msg("owners not learned")
		return
	}
	owners := make(map[api.Unit]ownership.Owner, len(reply.Owners))
	for _, e := range reply.Owners {
		owners[e.Unit] = ownership.Owner{Instance: e.Instance, Session: e.Session, Epoch: e.Epoch, Deputy: e.Deputy}
	}
	l.owners.Learn(owners)
}
