package dedup

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"bronzehook/api"
	"bronzehook/fault"
)

// checker sees the executions at the endpoint and the outcomes that callers were told, and nothing else.
type checker struct {
	executed map[string][]int
	notRun   map[string][]int
}

func (c *checker) check(t *rapid.T) {
	for key, attempts := range c.executed {
		if len(attempts) > 1 {
			t.Fatalf("key %s executed %d times, by attempts %v", key, len(attempts), attempts)
		}
		for _, reported := range c.notRun[key] {
			if reported == attempts[0] {
				t.Fatalf("attempt %d at key %s executed, but was reported as not-run", reported, key)
			}
		}
	}
}

// died unwinds a call on an instance that dies in the middle of it.
type died struct{}

type node struct {
	cluster *cluster
	id      api.InstanceID
	service *Service
	dead    bool
	// lapsed is set while the instance is paused and has lost its authority.
	lapsed bool
	known  api.Epoch
}

// cluster holds the instances, the unit row of one shard, and messages on their way.
type cluster struct {
	t       *rapid.T
	checker *checker
	clock   *clockwork.FakeClock
	shard   Shard
	keys    []string
	row     Tenure
	nodes   map[api.InstanceID]*node
	order   []*node
	delayed []func()
	tries   map[string]int
	depth   int
}

var testRegions = []string{"r"}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{
		t: t, clock: clockwork.NewFakeClock(), nodes: map[api.InstanceID]*node{}, tries: map[string]int{},
		checker: &checker{executed: map[string][]int{}, notRun: map[string][]int{}},
		shard:   ShardOf("r:0", testRegions),
	}
	for i := 0; len(c.keys) < 3; i++ {
		if key := fmt.Sprintf("r:%d", i); ShardOf(key, testRegions) == c.shard {
			c.keys = append(c.keys, key)
		}
	}
	for range 4 {
		c.join()
	}
	c.row = Tenure{Owner: c.order[0].id, Deputy: c.order[1].id, Epoch: 1}
	c.order[0].own(c.row, Tenure{})
	return c
}

func (c *cluster) join() {
	n := &node{cluster: c, id: api.InstanceID(fmt.Sprintf("i%d", len(c.nodes)))}
	config := Config{Limits: DefaultLimits(), ReplicateTimeout: time.Hour, LateQueue: 64, TransferRecords: 1}
	n.service = newService(n.id, config, c.clock, n, n)
	n.service.SetRegions(testRegions)
	c.nodes[n.id] = n
	c.order = append(c.order, n)
}

func (n *node) own(tenure, previous Tenure) {
	n.known = tenure.Epoch
	n.service.Own(n.cluster.shard, tenure, previous)
}

func (n *node) Tenure(Shard) (Tenure, bool) { return n.cluster.row, true }

func (n *node) Check(_ Shard, epoch api.Epoch) error {
	if n.lapsed || n.cluster.row.Owner != n.id || n.known != epoch {
		return &fault.Failure{FailureCode: fault.CodeNoAuthority}
	}
	return nil
}

func (n *node) Replicate(_ context.Context, to api.InstanceID, m RecordMessage) error {
	return n.carry(to, func(s *Service) error { return s.ApplyRecord(m) })
}

func (n *node) Transfer(_ context.Context, to api.InstanceID, m TransferMessage) error {
	return n.carry(to, func(s *Service) error { return s.ApplyTransfer(m) })
}

// carry delivers a message, loses it or its reply, delays it, or lets something happen meanwhile.
func (n *node) carry(to api.InstanceID, apply func(*Service) error) error {
	lost := &fault.Failure{FailureCode: fault.CodeUnreachable}
	target := n.cluster.nodes[to]
	deliver := func() error {
		if target.dead {
			return lost
		}
		return apply(target.service)
	}
	switch n.cluster.draw("message", "deliver", "deliver", "deliver", "lose", "lose reply", "delay", "repeat", "sender dies", "meanwhile") {
	case "lose":
		return lost
	case "lose reply":
		_ = deliver()
		return lost
	case "delay":
		n.cluster.delayed = append(n.cluster.delayed, func() { _ = deliver() })
		return lost
	case "repeat":
		n.cluster.delayed = append(n.cluster.delayed, func() { _ = deliver() })
	case "sender dies":
		_ = deliver()
		n.die()
	case "meanwhile":
		err := deliver()
		n.cluster.meanwhile()
		n.unwindIfDead()
		return err
	}
	return deliver()
}

func (n *node) die() {
	n.dead = true
	panic(died{})
}

// unwindIfDead ends a call on an instance that was killed meanwhile.
func (n *node) unwindIfDead() {
	if n.dead {
		panic(died{})
	}
}

func (c *cluster) draw(label string, options ...string) string {
	return rapid.SampledFrom(options).Draw(c.t, label)
}

// meanwhile lets other things happen in the middle of a call.
func (c *cluster) meanwhile() {
	if c.depth >= 2 {
		return
	}
	c.depth++
	defer func() { c.depth-- }()
	for range rapid.IntRange(1, 4).Draw(c.t, "events") {
		c.step()
	}
}

func (c *cluster) step() {
	switch c.draw("step", "attempt", "attempt", "attempt", "attempt", "kill owner", "kill deputy", "pause owner",
		"resume", "claim", "claim", "change deputy", "deliver delayed", "deliver late", "disown") {
	case "attempt":
		c.attempt()
	case "kill owner":
		c.kill(c.row.Owner)
	case "kill deputy":
		c.kill(c.row.Deputy)
	case "pause owner":
		c.nodes[c.row.Owner].lapsed = true
	case "resume":
		for _, n := range c.order {
			n.lapsed = false
		}
	case "claim":
		c.claim()
	case "change deputy":
		c.changeDeputy()
	case "deliver delayed":
		c.deliverDelayed()
	case "deliver late":
		c.deliverOutcome()
	case "disown":
		c.disown()
	}
}

func (c *cluster) kill(id api.InstanceID) {
	if n := c.nodes[id]; n != nil && !n.dead {
		n.dead = true
		c.join()
	}
}

// claim gives the shard to another instance if the owner is dead or has lapsed.
func (c *cluster) claim() {
	owner := c.nodes[c.row.Owner]
	if !owner.dead && !owner.lapsed {
		return
	}
	next := c.nodes[c.row.Deputy]
	if next == nil || next.dead || next.lapsed {
		next = c.pickLive(c.row.Owner)
	}
	if next == nil {
		return
	}
	previous := c.row
	c.row = Tenure{Owner: next.id, Epoch: previous.Epoch + 1}
	if deputy := c.pickLive(next.id); deputy != nil {
		c.row.Deputy = deputy.id
	}
	next.own(c.row, previous)
}

// changeDeputy changes the unit row; the owner may not have learned of it yet.
func (c *cluster) changeDeputy() {
	owner := c.nodes[c.row.Owner]
	if owner.dead || owner.lapsed {
		return
	}
	previous := c.row
	c.row = Tenure{Owner: owner.id, Epoch: previous.Epoch + 1}
	if deputy := c.pickLive(owner.id); deputy != nil && rapid.Bool().Draw(c.t, "has deputy") {
		c.row.Deputy = deputy.id
	}
	if rapid.IntRange(0, 3).Draw(c.t, "owner learns") > 0 {
		owner.own(c.row, previous)
	}
}

func (c *cluster) pickLive(other api.InstanceID) *node {
	var live []*node
	for _, n := range c.order {
		if !n.dead && !n.lapsed && n.id != other {
			live = append(live, n)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return rapid.SampledFrom(live).Draw(c.t, "instance")
}

func (c *cluster) deliverDelayed() {
	for len(c.delayed) > 0 {
		deliver := c.delayed[len(c.delayed)-1]
		c.delayed = c.delayed[:len(c.delayed)-1]
		deliver()
	}
}

func (c *cluster) deliverOutcome() {
	for _, n := range c.order {
		for !n.dead && len(n.service.outcomes) > 0 {
			c.guarded(func() { n.service.deliverOutcome(<-n.service.outcomes) })
		}
	}
}

// disown lets instances learn that the shard changed hands.
func (c *cluster) disown() {
	for _, n := range c.order {
		if !n.dead && n.id != c.row.Owner && n.service.IsOwner(c.shard) {
			n.service.Disown(c.shard)
		}
	}
}

// guarded runs a call and reports whether the instance survived it.
func (c *cluster) guarded(call func()) (survived bool) {
	defer func() {
		if cause := recover(); cause != nil {
			if _, ok := cause.(died); !ok {
				panic(cause)
			}
			c.join()
			survived = false
		}
	}()
	call()
	return true
}

// attempt is one attempt of a caller through any live instance that takes itself for the owner.
func (c *cluster) attempt() {
	key := rapid.SampledFrom(c.keys).Draw(c.t, "key")
	n := c.pickLive("")
	if owner := c.nodes[c.row.Owner]; !owner.dead && rapid.IntRange(0, 3).Draw(c.t, "via owner") > 0 {
		n = owner
	}
	if n == nil {
		return
	}
	c.tries[key]++
	attempt := c.tries[key]
	ctx, cancel := context.WithCancel(c.t.Context())
	cancel() // An attempt must not wait for one that is under way further up the stack.
	var err error
	survived := c.guarded(func() {
		_, err = n.service.Do(ctx, Call{Key: key, Attempt: attempt}, func(context.Context) (Answer, error) {
			return n.execute(key, attempt)
		})
	})
	if survived && err != nil && fault.OutcomeOf(err) == api.NotRun {
		c.checker.notRun[key] = append(c.checker.notRun[key], attempt)
	}
	c.checker.check(c.t)
}

// execute is the sending of a request to the endpoint.
func (n *node) execute(key string, attempt int) (Answer, error) {
	c := n.cluster
	outcomes := fault.Unknown(&fault.Failure{FailureCode: fault.CodeTimeout})
	fate := c.draw("endpoint", "answer", "answer", "refuse", "unreachable", "late", "sender dies", "meanwhile")
	if fate == "refuse" {
		return Answer{}, fault.NotRun(&fault.Failure{FailureCode: fault.CodeExpired})
	}
	if fate == "unreachable" {
		return Answer{}, outcomes
	}
	c.checker.executed[key] = append(c.checker.executed[key], attempt)
	switch fate {
	case "late":
		return Answer{}, outcomes
	case "sender dies":
		n.die()
	case "meanwhile":
		c.meanwhile()
		n.unwindIfDead()
	}
	return Answer{Status: 200}, nil
}

// Guards against a key that executes twice, and against "not-run" for an attempt that executed, under deaths of owners
// and deputies, pauses, lost and delayed messages, promotions, changes of the deputy and late answers.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			c.step()
		}
	})
}
