// Command 5 lets the store turn one of three instances away, and then all of them for a second, and checks that an
// instance that has answered for a new route does not answer 404 for it later (rule CONFIG).
package main

import (
	"net/http"
	"os"
	"time"

	"bronzehook/review/harness"
)

const (
	// settle lets all instances know each other.
	settle = 8 * time.Second
	// awayFor is how long the store turns one machine away, as in the list of troubles of the site. routeAfter and downAfter
	// are the times from its begin to the new route and to the outage for all, which lasts downFor.
	awayFor    = 9 * time.Second
	routeAfter = 2 * time.Second
	downAfter  = 6 * time.Second
	downFor    = time.Second
	// slack is rollback_slack_ms.
	slack = 250 * time.Millisecond
)

func main() {
	if os.Getenv("VARIANT") == "refused" {
		harness.Main(playRefused)
	}
	harness.Main(play)
}

func play(l *harness.Lab) (bool, error) {
	plan, added := harness.Route{Name: "plan", MaxAttempts: 3}, harness.Route{Name: "added", MaxAttempts: 3}
	l.PutManifest(1, plan)
	l.Fleet.Behaviour.Duration = func(string) time.Duration { return time.Second }
	if err := l.Fleet.Add(6); err != nil {
		return false, err
	}
	if err := l.Start(3); err != nil {
		return false, err
	}
	time.Sleep(settle)
	others := followers(l)
	away, asked := others[0], others[1]
	l.Note("%s leads, %s is turned away, %s is asked", l.Leader().Name, away.Name, asked.Name)
	if l.Trouble {
		away.Gate.SetBusy(true)
		time.AfterFunc(awayFor, func() { away.Gate.SetBusy(false) })
	}
	time.Sleep(routeAfter)
	l.PutManifest(2, plan, added)
	end := time.Now().Add(awayFor - routeAfter + time.Second)
	if l.Trouble {
		time.AfterFunc(downAfter-routeAfter, func() { outage(l, away) })
	}
	return wentBack(l, asked, added, end), nil
}

// followers returns the instances that do not lead. The leader may not know the others yet.
func followers(l *harness.Lab) []*harness.Instance {
	var others []*harness.Instance
	leader := l.Leader()
	for _, i := range l.Instances {
		if i != leader {
			others = append(others, i)
		}
	}
	return others
}

// outage lets the store answer 503 to all instances for a while.
func outage(l *harness.Lab, away *harness.Instance) {
	for _, i := range l.Instances {
		if i != away {
			i.Gate.SetBusy(true)
			time.AfterFunc(downFor, func() { i.Gate.SetBusy(false) })
		}
	}
}

// wentBack asks an instance for the pending jobs of a new route until end. It reports whether the instance answered 404
// more than slack after it had answered for that route.
func wentBack(l *harness.Lab, asked *harness.Instance, added harness.Route, end time.Time) bool {
	var first time.Time
	broken := false
	for time.Now().Before(end) {
		sent := time.Now()
		status, _ := l.Pending(asked, added)
		if status == http.StatusOK && first.IsZero() {
			first = time.Now()
		}
		broken = broken || (status == http.StatusNotFound && !first.IsZero() && sent.Sub(first) > slack)
		time.Sleep(100 * time.Millisecond)
	}
	return broken
}
