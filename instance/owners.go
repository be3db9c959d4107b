package instance

import (
	"context"
	"sync/atomic"
	"time"

	"bronzehook/api"
	"bronzehook/ownership"
	"bronzehook/peer"
)

// ownersQueryInterval is the time between two queries for owners while the table has not been read.
const ownersQueryInterval = time.Second

// ownersPull is the request for the owners of units that an instance knows.
type ownersPull struct{}

// ownersReply holds the owners that the queried instance has read from the table or fetched from other instances.
type ownersReply struct {
	Owners []ownerEntry `cbor:"1,keyasint,omitempty"`
}

type ownerEntry struct {
	Unit     api.Unit       `cbor:"1,keyasint"`
	Instance api.InstanceID `cbor:"2,keyasint"`
	Session  uint64         `cbor:"3,keyasint"`
	Epoch    api.Epoch      `cbor:"4,keyasint"`
	Backup   api.InstanceID `cbor:"5,keyasint,omitempty"`
}

func (i *Instance) knownOwners() ownersReply {
	var reply ownersReply
	for unit, o := range i.owners.View().Units {
		reply.Owners = append(reply.Owners, ownerEntry{
			Unit: unit, Instance: o.Instance, Session: o.Session, Epoch: o.Epoch, Backup: o.Backup,
		})
	}
	return reply
}

// ownerFetcher queries live instances for the owners while the table has not been read, so that an instance that starts
// during a table outage can route requests.
type ownerFetcher struct {
	*Instance
	queriedAt time.Time
	querying  atomic.Bool
}

// refresh starts a query if one is due. It is called on the event loop and does not block.
func (l *ownerFetcher) refresh() {
	now := l.options.Clock.Now()
	if l.owners.View().TableRead || now.Sub(l.queriedAt) < ownersQueryInterval || l.querying.Swap(true) {
		return
	}
	l.queriedAt = now
	go func() {
		defer l.querying.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
		defer cancel()
		for _, member := range l.livePeers() {
			l.fetchFrom(ctx, member.Instance.ID)
		}
	}()
}

func (l *ownerFetcher) fetchFrom(ctx context.Context, from api.InstanceID) {
	reply, err := call[ownersReply](ctx, l.Instance, from, peer.KindOwnersPull, ownersPull{})
	if err != nil {
		l.log.Debug().Str("peer", string(from)).Err(err).Msg("unit owners not fetched")
		return
	}
	owners := make(map[api.Unit]ownership.Owner, len(reply.Owners))
	for _, e := range reply.Owners {
		owners[e.Unit] = ownership.Owner{Instance: e.Instance, Session: e.Session, Epoch: e.Epoch, Backup: e.Backup}
	}
	l.owners.AddOwnerHints(owners)
}
