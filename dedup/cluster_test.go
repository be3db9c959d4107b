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

// checker compares the executions at the endpoint with the outcomes that were reported to callers.
type checker struct {
	executed map[string][]int
	notRun   map[string][]int
}

func (c *checker) check(t *rapid.T) {
	for key, attempts := range c.executed {
		if len(attempts) > 1 {
			t.Fatalf("key %s executed %d times, by attempts %v", key, len(attempts), attempts)
		}
		for _, notRunAttempt := range c.notRun[key] {
			if notRunAttempt == attempts[0] {
				t.Fatalf("attempt %d at key %s executed, but was reported as not-run", notRunAttempt, key)
			}
		}
	}
}

// crashSignal is the value with which a call panics when its instance crashes during the call.
type crashSignal struct{}

type testInstance struct {
	cluster *cluster
	id      api.InstanceID
	service *Service
	crashed bool
	// leaseExpired is set while the instance is paused and its instance lease has expired.
	leaseExpired bool
	knownEpoch   api.Epoch
}

// cluster has the instances, the current ownership of one shard, and the delayed messages.
type cluster struct {
	t            *rapid.T
	checker      *checker
	clock        *clockwork.FakeClock
	shard        Shard
	keys         []string
	current      ShardOwnership
	byID         map[api.InstanceID]*testInstance
	instances    []*testInstance
	delayed      []func()
	attemptCount map[string]int
	depth        int
}

var testRegions = []string{"r"}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{
		t: t, clock: clockwork.NewFakeClock(), byID: map[api.InstanceID]*testInstance{}, attemptCount: map[string]int{},
		checker: &checker{executed: map[string][]int{}, notRun: map[string][]int{}},
		shard:   ShardOf("r:0", testRegions),
	}
	for i := 0; len(c.keys) < 3; i++ {
		if key := fmt.Sprintf("r:%d", i); ShardOf(key, testRegions) == c.shard {
			c.keys = append(c.keys, key)
		}
	}
	for range 4 {
		c.addInstance()
	}
	c.current = ShardOwnership{Owner: c.instances[0].id, Backup: c.instances[1].id, Epoch: 1}
	c.instances[0].acquire(c.current, ShardOwnership{})
	return c
}

func (c *cluster) addInstance() {
	n := &testInstance{cluster: c, id: api.InstanceID(fmt.Sprintf("i%d", len(c.byID)))}
	config := Config{Limits: DefaultLimits(), ReplicateTimeout: time.Hour, OutcomeQueueSize: 64, MaxRecordsPerPart: 1}
	n.service = newService(n.id, config, c.clock, n, n)
	n.service.SetRegions(testRegions)
	c.byID[n.id] = n
	c.instances = append(c.instances, n)
}

func (n *testInstance) acquire(ownership, previous ShardOwnership) {
	n.knownEpoch = ownership.Epoch
	n.service.Acquire(n.cluster.shard, ownership, previous)
}

func (n *testInstance) Ownership(Shard) (ShardOwnership, bool) { return n.cluster.current, true }

func (n *testInstance) Check(_ Shard, epoch api.Epoch) error {
	if n.leaseExpired || n.cluster.current.Owner != n.id || n.knownEpoch != epoch {
		return &fault.Failure{FailureCode: fault.CodeNoAuthority}
	}
	return nil
}

func (n *testInstance) Replicate(_ context.Context, to api.InstanceID, m RecordMessage) error {
	return n.sendMessage(to, func(s *Service) error { return s.ApplyRecord(m) })
}

func (n *testInstance) Transfer(_ context.Context, to api.InstanceID, m TransferMessage) error {
	return n.sendMessage(to, func(s *Service) error { return s.ApplyTransfer(m) })
}

// sendMessage delivers a message, loses it or its reply, delays or repeats it, crashes the sender, or interleaves other
// steps.
func (n *testInstance) sendMessage(to api.InstanceID, apply func(*Service) error) error {
	unreachable := &fault.Failure{FailureCode: fault.CodeUnreachable}
	target := n.cluster.byID[to]
	deliver := func() error {
		if target.crashed {
			return unreachable
		}
		return apply(target.service)
	}
	switch n.cluster.draw("message", "deliver", "deliver", "deliver", "lose", "lose reply", "delay", "repeat", "sender crashes", "meanwhile") {
	case "lose":
		return unreachable
	case "lose reply":
		_ = deliver()
		return unreachable
	case "delay":
		n.cluster.delayed = append(n.cluster.delayed, func() { _ = deliver() })
		return unreachable
	case "repeat":
		n.cluster.delayed = append(n.cluster.delayed, func() { _ = deliver() })
	case "sender crashes":
		_ = deliver()
		n.crash()
	case "meanwhile":
		err := deliver()
		n.cluster.interleave()
		n.unwindIfCrashed()
		return err
	}
	return deliver()
}

func (n *testInstance) crash() {
	n.crashed = true
	panic(crashSignal{})
}

// unwindIfCrashed aborts a call on an instance that crashed during the call.
func (n *testInstance) unwindIfCrashed() {
	if n.crashed {
		panic(crashSignal{})
	}
}

func (c *cluster) draw(label string, options ...string) string {
	return rapid.SampledFrom(options).Draw(c.t, label)
}

// interleave runs other steps of the cluster in the middle of a call.
func (c *cluster) interleave() {
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
	switch c.draw("step", "attempt", "attempt", "attempt", "attempt", "crash owner", "crash backup", "pause owner",
		"resume", "claim", "claim", "change backup", "deliver delayed", "deliver outcomes", "disown") {
	case "attempt":
		c.attempt()
	case "crash owner":
		c.crashInstance(c.current.Owner)
	case "crash backup":
		c.crashInstance(c.current.Backup)
	case "pause owner":
		c.byID[c.current.Owner].leaseExpired = true
	case "resume":
		for _, n := range c.instances {
			n.leaseExpired = false
		}
	case "claim":
		c.takeOver()
	case "change backup":
		c.changeBackup()
	case "deliver delayed":
		c.deliverDelayed()
	case "deliver outcomes":
		c.deliverOutcomes()
	case "disown":
		c.releaseFormerOwners()
	}
}

func (c *cluster) crashInstance(id api.InstanceID) {
	if n := c.byID[id]; n != nil && !n.crashed {
		n.crashed = true
		c.addInstance()
	}
}

// takeOver makes another instance the owner of the shard if the owner has crashed or its instance lease has expired.
func (c *cluster) takeOver() {
	owner := c.byID[c.current.Owner]
	if !owner.crashed && !owner.leaseExpired {
		return
	}
	successor := c.byID[c.current.Backup]
	if successor == nil || successor.crashed || successor.leaseExpired {
		successor = c.drawLive(c.current.Owner)
	}
	if successor == nil {
		return
	}
	previous := c.current
	c.current = ShardOwnership{Owner: successor.id, Epoch: previous.Epoch + 1}
	if backup := c.drawLive(successor.id); backup != nil {
		c.current.Backup = backup.id
	}
	successor.acquire(c.current, previous)
}

// changeBackup changes the backup in the current ownership; the owner may not have been informed yet.
func (c *cluster) changeBackup() {
	owner := c.byID[c.current.Owner]
	if owner.crashed || owner.leaseExpired {
		return
	}
	previous := c.current
	c.current = ShardOwnership{Owner: owner.id, Epoch: previous.Epoch + 1}
	if backup := c.drawLive(owner.id); backup != nil && rapid.Bool().Draw(c.t, "has backup") {
		c.current.Backup = backup.id
	}
	if rapid.IntRange(0, 3).Draw(c.t, "owner is informed") > 0 {
		owner.acquire(c.current, previous)
	}
}

func (c *cluster) drawLive(excluded api.InstanceID) *testInstance {
	var live []*testInstance
	for _, n := range c.instances {
		if !n.crashed && !n.leaseExpired && n.id != excluded {
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

func (c *cluster) deliverOutcomes() {
	for _, n := range c.instances {
		for !n.crashed && len(n.service.outcomes) > 0 {
			c.runUntilCrash(func() { n.service.deliverOutcome(<-n.service.outcomes) })
		}
	}
}

// releaseFormerOwners informs all former owners that the shard has a new owner.
func (c *cluster) releaseFormerOwners() {
	for _, n := range c.instances {
		if !n.crashed && n.id != c.current.Owner && n.service.IsOwner(c.shard) {
			n.service.Release(c.shard)
		}
	}
}

// runUntilCrash makes a call and reports whether it completed without a crash of the instance.
func (c *cluster) runUntilCrash(call func()) (completed bool) {
	defer func() {
		if cause := recover(); cause != nil {
			if _, ok := cause.(crashSignal); !ok {
				panic(cause)
			}
			c.addInstance()
			completed = false
		}
	}()
	call()
	return true
}

// attempt makes one attempt of a caller through the owner in most cases, else through a random live instance.
func (c *cluster) attempt() {
	key := rapid.SampledFrom(c.keys).Draw(c.t, "key")
	n := c.drawLive("")
	if owner := c.byID[c.current.Owner]; !owner.crashed && rapid.IntRange(0, 3).Draw(c.t, "via owner") > 0 {
		n = owner
	}
	if n == nil {
		return
	}
	c.attemptCount[key]++
	attempt := c.attemptCount[key]
	ctx, cancel := context.WithCancel(c.t.Context())
	cancel() // An attempt must not wait for one that is in progress further up the call stack.
	var err error
	completed := c.runUntilCrash(func() {
		_, err = n.service.Do(ctx, Call{Key: key, Attempt: attempt}, func(context.Context) (Response, error) {
			return n.execute(key, attempt)
		})
	})
	if completed && err != nil && fault.OutcomeOf(err) == api.NotRun {
		c.checker.notRun[key] = append(c.checker.notRun[key], attempt)
	}
	c.checker.check(c.t)
}

// execute sends the request to the endpoint.
func (n *testInstance) execute(key string, attempt int) (Response, error) {
	c := n.cluster
	unknownOutcome := fault.Unknown(&fault.Failure{FailureCode: fault.CodeTimeout})
	event := c.draw("endpoint", "answer", "answer", "refuse", "unreachable", "late", "sender crashes", "meanwhile")
	if event == "refuse" {
		return Response{}, fault.NotRun(&fault.Failure{FailureCode: fault.CodeExpired})
	}
	if event == "unreachable" {
		return Response{}, unknownOutcome
	}
	c.checker.executed[key] = append(c.checker.executed[key], attempt)
	switch event {
	case "late":
		return Response{}, unknownOutcome
	case "sender crashes":
		n.crash()
	case "meanwhile":
		c.interleave()
		n.unwindIfCrashed()
	}
	return Response{Status: 200}, nil
}

// Guards against a key that is executed twice, and against the outcome "not-run" for an attempt that was executed.
// Owners and backups crash, pause and change, messages are lost or delayed, and outcomes arrive late.
func TestKeyExecutesAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			c.step()
		}
	})
}
